"""Measure the cost of peers and bills, and how fast changes propagate."""

import contextlib
import dataclasses
import os
import socket
import statistics
import struct
import time

from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.platform_log.const import BILL_STREAM
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from tools.bench.slopes import fit_line
from tools.standins.log import LogFaults
from tools.world.caller import Caller
from tools.world.samples import WORKSPACE_KEY, make_table_change
from tools.world.world import PEER_PORT, World, wait_until

DOMAIN_SIZES = (3, 6, 12)
REQUEST_COUNTS = (50, 100, 200)
CHANGES = 60
SETTLE_S = 3.0
SAMPLE_S = 6.0
POLL_S = 0.001
MS_PER_S = 1000
KB = 1000
PERCENT = 100
SERVES = ('pult-model/small', 'pult-model/large')
# Bytes to read of Linux's struct tcp_info, up to the end of the field
# tcpi_bytes_received, and the offset of that field.
TCP_INFO_BYTES = 136
RECEIVED_OFFSET = 128


@dataclasses.dataclass(frozen=True, slots=True)
class IdleCost:
    """The mean cost of one daemon without requests.

    `links` counts its peer connections; `cores` is processor time per second.
    """

    peers: float
    links: float
    bytes_per_s: float
    cores: float


def measure_peers() -> None:
    """Print a daemon's traffic and processor time by number of peers."""
    idle_costs = [_idle_cost(size) for size in DOMAIN_SIZES]
    for cost in idle_costs:
        print(
            f'peers: {cost.peers:3.0f} peers  {cost.links:5.1f} links  '
            f'{cost.bytes_per_s / KB:6.2f} KB/s received  '
            f'{cost.cores * PERCENT:5.2f}% of a core, per daemon'
        )
    peers = [idle.peers for idle in idle_costs]
    traffic = fit_line(peers, [idle.bytes_per_s for idle in idle_costs])
    processor = fit_line(peers, [idle.cores for idle in idle_costs])
    print(f'peers: {traffic.per_unit / KB:.3f} KB/s per peer')
    print(f'peers: {processor.per_unit * PERCENT:.3f}% of a core per peer')


def _idle_cost(size: int) -> IdleCost:
    with World() as world:
        for number in range(size):
            world.add_daemon(f'entry-{number}', 'zg-trnje')
        time.sleep(SETTLE_S)
        received_before = _received_by_socket()
        cpu_before_s = time.process_time()
        time.sleep(SAMPLE_S)
        cpu_s = time.process_time() - cpu_before_s
        received_after = _received_by_socket()
        links = [
            len(kernel.find(PEERS, PeerService).linked_peers())
            for kernel in world.kernels_by_host.values()
        ]
    # Sockets opened during the sample count in full, closed ones not at all.
    received = sum(
        received_after[inode] - received_before.get(inode, 0)
        for inode in received_after
    )
    return IdleCost(
        peers=float(size - 1),
        links=statistics.mean(links),
        bytes_per_s=received / size / SAMPLE_S,
        cores=cpu_s / size / SAMPLE_S,
    )


def _received_by_socket() -> dict[int, int]:
    # Both ends of each link are in this process; each counts the bytes that it
    # received.
    received_by_inode = {}
    for name in os.listdir('/proc/self/fd'):
        with contextlib.suppress(OSError):
            inode = os.fstat(int(name)).st_ino
            received_by_inode[inode] = _received_bytes(int(name))
    return received_by_inode


def _received_bytes(fd: int) -> int:
    with (
        contextlib.suppress(OSError),
        socket.socket(fileno=os.dup(fd)) as connection,
    ):
        if connection.family is not socket.AF_INET:
            return 0
        if PEER_PORT in {
            connection.getsockname()[1],
            connection.getpeername()[1],
        }:
            info = connection.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
            return int(struct.unpack_from('Q', info, RECEIVED_OFFSET)[0])
    return 0


def measure_appends() -> None:
    """Print the rate of log appends by number of billed requests."""
    with World() as world:
        world.add_engine('engine-1', 'zg-trnje', *SERVES, token_time_s=0)
        world.add_daemon('entry-1', 'zg-trnje')
        caller = Caller(world.address_of('entry-1'), WORKSPACE_KEY)
        wait_until(lambda: caller.chat(max_tokens=1).status == 200, 'a reply')
        for requests in REQUEST_COUNTS:
            _print_appends(world, caller, requests)


def _print_appends(world: World, caller: Caller, requests: int) -> None:
    store = world.log.store
    bills_before = len(store.entries(BILL_STREAM))
    appends_before = store.append_count
    started_s = time.monotonic()
    for _ in range(requests):
        caller.chat(max_tokens=1)
    wait_until(
        lambda: len(store.entries(BILL_STREAM)) >= bills_before + requests,
        'bills',
    )
    elapsed_s = time.monotonic() - started_s
    appends = store.append_count - appends_before
    print(
        f'appends: {requests / elapsed_s:6.1f} requests/s  '
        f'{appends / elapsed_s:5.2f} appends/s  '
        f'{appends / requests:.3f} appends per request'
    )


def measure_propagation(is_log_down: bool) -> None:
    """Print the time from an append until all daemons have the change.

    With `is_log_down`, two of the three daemons cannot reach the log.
    """
    with World() as world:
        for host in ('entry-0', 'entry-1', 'entry-2'):
            world.add_daemon(host, 'zg-trnje')
        time.sleep(SETTLE_S)
        if is_log_down:
            world.set_log_faults(LogFaults(is_down=True), 'entry-1', 'entry-2')
        times_ms = [_propagation_ms(world, number) for number in range(CHANGES)]
    percentiles_ms = statistics.quantiles(
        times_ms, n=PERCENT, method='inclusive'
    )
    name = 'two of three cut off' if is_log_down else 'log reachable'
    print(
        f'in force: {name:22} p50 {percentiles_ms[49]:6.1f} ms'
        f'  p99 {percentiles_ms[98]:6.1f} ms'
        f'  max {max(times_ms):6.1f} ms  {CHANGES} changes'
    )


def _propagation_ms(world: World, number: int) -> float:
    tables = [
        kernel.find(TABLE, TableService)
        for kernel in world.kernels_by_host.values()
    ]
    started_s = time.monotonic()
    offset = world.change_table(
        make_table_change({f'service/new-{number}': {}})
    )
    while any(table.state.revision < offset for table in tables):
        if time.monotonic() - started_s > SAMPLE_S:
            raise TimeoutError('not all daemons have applied the change')
        time.sleep(POLL_S)
    return (time.monotonic() - started_s) * MS_PER_S
