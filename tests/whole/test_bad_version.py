"""A failing version is held automatically, without an operator."""

from collections.abc import Iterator

import pytest

from marigoldhoist.components.health.const import COMPONENT as HEALTH
from marigoldhoist.components.health.models import HoldNotice
from marigoldhoist.components.health.service import HealthService
from marigoldhoist.components.routing.const import COMPONENT as ROUTING
from marigoldhoist.components.routing.service import RoutingService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.models import VersionState
from marigoldhoist.components.table.service import TableService
from tools.standins.engine import EngineFaults
from tools.standins.log import LogFaults
from tools.world.caller import Caller
from tools.world.samples import WORKSPACE_KEY
from tools.world.world import World, wait_until

SMALL = 'pult-model/small'
LARGE = 'pult-model/large'
MODEL = 'pult-model'


@pytest.fixture
def world() -> Iterator[World]:
    """Start two daemons and a replica of each version in two domains."""
    with World() as started:
        for domain in ('zg-trnje', 'zg-dubrava'):
            started.add_engine(f'small-{domain}', domain, SMALL)
            started.add_engine(f'large-{domain}', domain, LARGE)
        started.add_daemon('entry-1', 'zg-trnje')
        started.add_daemon('entry-2', 'zg-dubrava')
        yield started


def is_held(world: World, host: str) -> bool:
    """Return whether the daemon's local holds include SMALL."""
    routing = world.kernels_by_host[host].find(ROUTING, RoutingService)
    return routing.holds.is_held(MODEL, 'small')


def is_held_by_table(world: World, host: str) -> bool:
    """Return whether the table in force at the daemon holds SMALL."""
    table = world.kernels_by_host[host].find(TABLE, TableService)
    row = table.state.version(MODEL, 'small')
    return row is not None and row.state is VersionState.HELD


def send_until_held(world: World, host: str) -> None:
    """Make SMALL always fail and send requests until the daemon holds it.

    It sends at most 60 requests.
    """
    for name, engine in world.engines_by_host.items():
        if name.startswith('small'):
            engine.faults = EngineFaults(fail_all=True)
    caller = Caller(world.address_of(host), WORKSPACE_KEY)
    for _ in range(60):
        caller.chat(max_tokens=3)
        if is_held(world, host):
            return


class TestHold:
    """Failed answers cause a hold of the version at every daemon."""

    def test_hold_reaches_the_table_and_the_peer(self, world: World) -> None:
        for _ in range(2):
            send_until_held(world, 'entry-1')
            send_until_held(world, 'entry-2')
        wait_until(
            lambda: is_held_by_table(world, 'entry-1'), 'the hold at entry-1'
        )
        wait_until(
            lambda: is_held_by_table(world, 'entry-2'), 'the hold at entry-2'
        )
        table = world.kernels_by_host['entry-1'].find(TABLE, TableService)
        assert table.fold.audit[-1].author == 'health'
        reply = Caller(world.address_of('entry-2'), WORKSPACE_KEY).chat()
        assert reply.served_version == LARGE

    def test_peer_holds_while_the_log_is_down(self, world: World) -> None:
        # The notice is repeated, so it also reaches a peer that connects later.
        world.set_log_faults(LogFaults(is_down=True))
        health = world.kernels_by_host['entry-1'].find(HEALTH, HealthService)
        health.hold_and_publish(HoldNotice(MODEL, 'small', 'test', 0))
        wait_until(lambda: is_held(world, 'entry-2'), 'the hold at the peer')
        assert not is_held_by_table(world, 'entry-2')
        world.set_log_faults(LogFaults())
        wait_until(
            lambda: is_held_by_table(world, 'entry-2'),
            'the hold in the table',
        )
        wait_until(
            lambda: not is_held(world, 'entry-2'), 'the end of the local hold'
        )
