"""Sessions through whole daemons."""

from collections.abc import Iterator

import pytest

from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from tools.standins.log import LogFaults
from tools.world.caller import Caller
from tools.world.samples import WORKSPACE_KEY, change_of
from tools.world.world import World, wait_until

SMALL = 'pult-model/small'
LARGE = 'pult-model/large'
ALL_LARGE = {'weights_by_version': {'small': 0, 'large': 1}}
ALL_SMALL = {'weights_by_version': {'small': 1, 'large': 0}}


@pytest.fixture
def world() -> Iterator[World]:
    """Start two daemons and an engine."""
    with World() as started:
        started.add_engine('engine-1', 'zg-trnje', SMALL, LARGE)
        started.add_daemon('entry-1', 'zg-trnje')
        started.add_daemon('entry-2', 'zg-dubrava')
        wait_until(lambda: in_force(started, 0), 'the table')
        wait_until(lambda: are_linked(started), 'links both ways')
        yield started


def in_force(world: World, offset: int) -> bool:
    """Tell whether every daemon has that revision."""
    return all(
        kernel.find(TABLE, TableService).state.revision == offset
        for kernel in world.kernels_by_host.values()
    )


def are_linked(world: World) -> bool:
    """Tell whether every daemon has a link to the other."""
    return all(
        kernel.find(PEERS, PeerService).live()
        for kernel in world.kernels_by_host.values()
    )


def put(world: World, key: str, row: object, base: int) -> int:
    """Change a row and wait until every daemon has it."""
    offset = world.change_table(change_of({key: row}, base_revision=base))
    wait_until(lambda: in_force(world, offset), f'revision {offset}')
    return offset


def served(world: World, host: str, session: str, token: str = '') -> str:
    """Return the version that a request of the session got."""
    headers = {'X-Session': session, 'X-Session-Token': token}
    reply = Caller(world.address_of(host), WORKSPACE_KEY).chat(headers=headers)
    return reply.served_version


class TestSession:
    """A session keeps its version at both daemons."""

    def test_keeps_version_when_weights_change(self, world: World) -> None:
        offset = put(world, 'model/pult-model', ALL_SMALL, 0)
        assert served(world, 'entry-1', 'quote') == SMALL
        put(world, 'model/pult-model', ALL_LARGE, offset)
        assert served(world, 'entry-2', 'quote') == SMALL
        assert served(world, 'entry-2', 'inventory') == LARGE

    @pytest.mark.parametrize('state', ['held', 'withdrawn'])
    def test_moves_when_its_version_stops(
        self, world: World, state: str
    ) -> None:
        weighted = {'weights_by_version': {'small': 9999, 'large': 1}}
        put(world, 'model/pult-model', weighted, 0)
        assert served(world, 'entry-1', 'quote') == SMALL
        stopped = {'state': state, 'successor': 'large'}
        offset = put(world, 'version/pult-model/small', stopped, 0)
        assert served(world, 'entry-2', 'quote') == LARGE
        if state == 'held':
            put(world, 'version/pult-model/small', {}, offset)
        assert served(world, 'entry-1', 'quote') == LARGE

    def test_started_in_a_log_outage(self, world: World) -> None:
        offset = put(world, 'model/pult-model', ALL_SMALL, 0)
        world.set_log_faults(LogFaults(is_down=True), 'entry-1')
        assert served(world, 'entry-1', 'quote') == SMALL
        put(world, 'model/pult-model', ALL_LARGE, offset)
        assert served(world, 'entry-2', 'quote') == SMALL
        world.set_log_faults(LogFaults())
        assert served(world, 'entry-1', 'quote') == SMALL

    def test_token_comes_back(self, world: World) -> None:
        caller = Caller(world.address_of('entry-1'), WORKSPACE_KEY)
        reply = caller.chat(headers={'X-Session': 'quote'})
        assert reply.headers['x-session-token']
        assert 'x-session-token' not in caller.chat().headers
