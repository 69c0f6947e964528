"""Cost of peers, of bills, and the time until a change is in force."""

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
from tools.bench.slopes import fit
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
PER_CENT = 100
SERVES = ('pult-model/small', 'pult-model/large')
# tcpi_bytes_received in Linux's struct tcp_info.
TCP_INFO_BYTES = 136
RECEIVED_AT = 128


@dataclasses.dataclass(frozen=True, slots=True)
class IdleCost:
    """What one daemon without requests costs, on average."""

    peers: float
    links: float
    bytes_per_s: float
    cores: float


def measure_peers() -> None:
    """Print bytes and processor time of one daemon against peers."""
    costs = [_idle_cost(size) for size in DOMAIN_SIZES]
    for cost in costs:
        print(
            f'peers: {cost.peers:3.0f} peers  {cost.links:5.1f} links  '
            f'{cost.bytes_per_s / KB:6.2f} KB/s received  '
            f'{cost.cores * PER_CENT:5.2f}% of a core, each'
        )
    peers = [one.peers for one in costs]
    traffic = fit(peers, [one.bytes_per_s for one in costs])
    spent = fit(peers, [one.cores for one in costs])
    print(f'peers: {traffic.per_unit / KB:.3f} KB/s a peer')
    print(f'peers: {spent.per_unit * PER_CENT:.3f}% of a core a peer')


def _idle_cost(size: int) -> IdleCost:
    with World() as world:
        for number in range(size):
            world.add_daemon(f'entry-{number}', 'zg-trnje')
        time.sleep(SETTLE_S)
        before = _received_by_socket()
        cpu_before_s = time.process_time()
        time.sleep(SAMPLE_S)
        cpu_s = time.process_time() - cpu_before_s
        after = _received_by_socket()
        links = [
            len(kernel.find(PEERS, PeerService).linked_peers())
            for kernel in world.kernels_by_host.values()
        ]
    # A socket that was opened meanwhile counts whole; a closed one is lost.
    received = sum(after[inode] - before.get(inode, 0) for inode in after)
    return IdleCost(
        peers=float(size - 1),
        links=statistics.mean(links),
        bytes_per_s=received / size / SAMPLE_S,
        cores=cpu_s / size / SAMPLE_S,
    )


def _received_by_socket() -> dict[int, int]:
    # Both ends of each link are in this process and each counts what it got.
    received_by_inode = {}
    for name in os.listdir('/proc/self/fd'):
        with contextlib.suppress(OSError):
            inode = os.fstat(int(name)).st_ino
            received_by_inode[inode] = _received_by(int(name))
    return received_by_inode


def _received_by(fd: int) -> int:
    with contextlib.suppress(OSError), socket.socket(fileno=os.dup(fd)) as end:
        if end.family is not socket.AF_INET:
            return 0
        if PEER_PORT in {end.getsockname()[1], end.getpeername()[1]}:
            info = end.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
            return int(struct.unpack_from('Q', info, RECEIVED_AT)[0])
    return 0


def measure_appends() -> None:
    """Print appends of bills against requests a second."""
    with World() as world:
        world.add_engine('engine-1', 'zg-trnje', *SERVES, token_time_s=0)
        world.add_daemon('entry-1', 'zg-trnje')
        caller = Caller(world.address_of('entry-1'), WORKSPACE_KEY)
        wait_until(lambda: caller.chat(max_tokens=1).status == 200, 'a reply')
        for requests in REQUEST_COUNTS:
            _count_appends(world, caller, requests)


def _count_appends(world: World, caller: Caller, requests: int) -> None:
    store = world.log.store
    billed = len(store.entries(BILL_STREAM))
    before = store.append_count
    begun_s = time.monotonic()
    for _ in range(requests):
        caller.chat(max_tokens=1)
    wait_until(
        lambda: len(store.entries(BILL_STREAM)) >= billed + requests, 'bills'
    )
    spent_s = time.monotonic() - begun_s
    appends = store.append_count - before
    print(
        f'appends: {requests / spent_s:6.1f} requests/s  '
        f'{appends / spent_s:5.2f} appends/s  '
        f'{appends / requests:.3f} appends a request'
    )


def measure_in_force(is_cut: bool) -> None:
    """Print the time from an append until all daemons have the change."""
    with World() as world:
        for host in ('entry-0', 'entry-1', 'entry-2'):
            world.add_daemon(host, 'zg-trnje')
        time.sleep(SETTLE_S)
        if is_cut:
            world.set_log_faults(LogFaults(is_down=True), 'entry-1', 'entry-2')
        times_ms = [_change(world, number) for number in range(CHANGES)]
    cuts = statistics.quantiles(times_ms, n=PER_CENT, method='inclusive')
    name = 'two of three cut off' if is_cut else 'log reachable'
    print(
        f'in force: {name:22} p50 {cuts[49]:6.1f} ms  p99 {cuts[98]:6.1f} ms'
        f'  max {max(times_ms):6.1f} ms  {CHANGES} changes'
    )


def _change(world: World, number: int) -> float:
    tables = [
        kernel.find(TABLE, TableService)
        for kernel in world.kernels_by_host.values()
    ]
    begun_s = time.monotonic()
    offset = world.change_table(
        make_table_change({f'service/new-{number}': {}})
    )
    while any(table.state.revision < offset for table in tables):
        if time.monotonic() - begun_s > SAMPLE_S:
            raise TimeoutError('the change is not in force')
        time.sleep(POLL_S)
    return (time.monotonic() - begun_s) * MS_PER_S
