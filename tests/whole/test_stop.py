"""End-to-end tests of planned stops and crashes of daemons."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from marigoldhoist.components.billing.aggregator import BillAggregator
from marigoldhoist.components.billing.const import COMPONENT as BILLING
from marigoldhoist.components.billing.service import BillingService
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.platform_log.const import BILL_STREAM
from tools.standins.log import LogFaults
from tools.world.caller import Caller, CallerReply
from tools.world.samples import WORKSPACE_KEY
from tools.world.world import World, wait_until

SMALL = 'pult-model/small'
LARGE = 'pult-model/large'
HOSTS = ('entry-1', 'entry-2', 'entry-3')


@pytest.fixture
def world() -> Iterator[World]:
    """Start three linked daemons, two of them in one failure domain."""
    with World() as started:
        started.add_engine(
            'engine-1', 'zg-trnje', SMALL, LARGE, token_time_s=0.02
        )
        started.add_daemon('entry-1', 'zg-trnje')
        started.add_daemon('entry-2', 'zg-trnje')
        started.add_daemon('entry-3', 'zg-dubrava')
        wait_until(lambda: are_linked(started), 'links between all daemons')
        wait_until(lambda: do_all_answer(started), 'answers of all daemons')
        wait_until(lambda: not pending_bills(started), 'the first bills')
        yield started


def are_linked(world: World) -> bool:
    """Return whether every daemon has links to all others."""
    others = len(world.kernels_by_host) - 1
    return all(
        len(kernel.find(PEERS, PeerService).accepting_peers()) == others
        for kernel in world.kernels_by_host.values()
    )


def do_all_answer(world: World) -> bool:
    """Return whether every daemon answers a chat request."""
    return all(chat(world, host).status == 200 for host in HOSTS)


def chat(world: World, host: str, tokens: int = 2) -> CallerReply:
    """Send a streamed chat request to a daemon."""
    caller = Caller(world.address_of(host), WORKSPACE_KEY)
    return caller.chat(max_tokens=tokens)


def pending_bills(world: World) -> int:
    """Return the number of bills that are not on the log yet."""
    return sum(
        kernel.find(BILLING, BillingService).pending_count
        for kernel in world.kernels_by_host.values()
    )


def count_bills(world: World) -> int:
    """Return the number of distinct bills on the log."""
    aggregator = BillAggregator()
    for entry in world.log.store.entries(BILL_STREAM):
        aggregator.apply(entry)
    return sum(total.bills for total in aggregator.totals())


class TestPlannedStop:
    """A planned stop interrupts no request and loses no bill."""

    def test_two_at_once_with_streams_in_flight(self, world: World) -> None:
        before = count_bills(world)
        stopping = ('entry-1', 'entry-2')
        addresses = {host: world.address_of(host) for host in stopping}
        with ThreadPoolExecutor(8) as pool:
            streams = [
                pool.submit(
                    Caller(addresses[host], WORKSPACE_KEY).chat, max_tokens=60
                )
                for host in stopping * 2
            ]
            wait_until(
                lambda: world.engines_by_host['engine-1'].running >= 4,
                'four running streams',
            )
            list(pool.map(world.stop_daemon, stopping))
            replies = [stream.result() for stream in streams]
        assert all(reply.is_complete_stream for reply in replies)
        assert count_bills(world) == before + len(replies)

    def test_bills_are_handed_over_in_a_log_outage(self, world: World) -> None:
        before = count_bills(world)
        world.set_log_faults(LogFaults(is_down=True))
        assert chat(world, 'entry-1').status == 200
        world.stop_daemon('entry-1')
        assert pending_bills(world) >= 1
        world.set_log_faults(LogFaults())
        wait_until(lambda: count_bills(world) == before + 1, 'the bill')

    def test_peers_learn_of_draining_at_once(self, world: World) -> None:
        kernel = world.kernels_by_host['entry-3']
        peers = kernel.find(PEERS, PeerService)
        leaving = world.kernels_by_host['entry-1']
        leaving.draining.set()
        wait_until(
            lambda: (
                {peer.host for peer in peers.accepting_peers()} == {'entry-2'}
            ),
            'the leaving notice',
        )
        assert peers.status().leaving == ('entry-1',)


class TestCrash:
    """After a crash, the peers append the daemon's bills."""

    def test_bills_of_a_crashed_daemon(self, world: World) -> None:
        before = count_bills(world)
        world.set_log_faults(LogFaults(is_down=True))
        assert chat(world, 'entry-1').status == 200
        world.crash_daemon('entry-1')
        for host in ('entry-2', 'entry-3'):
            world.set_log_faults(LogFaults(), host)
        wait_until(lambda: count_bills(world) == before + 1, 'the bill')
