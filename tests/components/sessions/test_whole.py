"""Test sessions end to end with two daemons and an engine."""

from collections.abc import Iterator

import pytest

from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from tools.standins.log import LogFaults
from tools.world.caller import Caller
from tools.world.samples import WORKSPACE_KEY, make_table_change
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
        wait_until(lambda: has_revision(started, 0), 'the table')
        wait_until(lambda: are_linked(started), 'links both ways')
        yield started


def has_revision(world: World, offset: int) -> bool:
    """Return whether every daemon's table has that revision."""
    return all(
        kernel.find(TABLE, TableService).state.revision == offset
        for kernel in world.kernels_by_host.values()
    )


def are_linked(world: World) -> bool:
    """Return whether every daemon has a live link to the other."""
    return all(
        kernel.find(PEERS, PeerService).linked_peers()
        for kernel in world.kernels_by_host.values()
    )


def put_row(world: World, key: str, row: object, base: int) -> int:
    """Change a row and wait until every daemon has it."""
    offset = world.change_table(
        make_table_change({key: row}, base_revision=base)
    )
    wait_until(lambda: has_revision(world, offset), f'revision {offset}')
    return offset


def served_version(
    world: World, host: str, session: str, token: str = ''
) -> str:
    """Send a request of the session; return the version that served it."""
    headers = {'X-Session': session, 'X-Session-Token': token}
    reply = Caller(world.address_of(host), WORKSPACE_KEY).chat(headers=headers)
    return reply.served_version


class TestSession:
    """Test that a session keeps its version on both daemons."""

    def test_keeps_version_when_weights_change(self, world: World) -> None:
        offset = put_row(world, 'model/pult-model', ALL_SMALL, 0)
        assert served_version(world, 'entry-1', 'quote') == SMALL
        put_row(world, 'model/pult-model', ALL_LARGE, offset)
        assert served_version(world, 'entry-2', 'quote') == SMALL
        assert served_version(world, 'entry-2', 'inventory') == LARGE

    @pytest.mark.parametrize('state', ['held', 'withdrawn'])
    def test_moves_when_its_version_is_unusable(
        self, world: World, state: str
    ) -> None:
        weights = {'weights_by_version': {'small': 9999, 'large': 1}}
        put_row(world, 'model/pult-model', weights, 0)
        assert served_version(world, 'entry-1', 'quote') == SMALL
        row = {'state': state, 'successor': 'large'}
        offset = put_row(world, 'version/pult-model/small', row, 0)
        assert served_version(world, 'entry-2', 'quote') == LARGE
        if state == 'held':
            put_row(world, 'version/pult-model/small', {}, offset)
        assert served_version(world, 'entry-1', 'quote') == LARGE

    def test_keeps_version_from_a_log_outage(self, world: World) -> None:
        offset = put_row(world, 'model/pult-model', ALL_SMALL, 0)
        world.set_log_faults(LogFaults(is_down=True), 'entry-1')
        assert served_version(world, 'entry-1', 'quote') == SMALL
        put_row(world, 'model/pult-model', ALL_LARGE, offset)
        assert served_version(world, 'entry-2', 'quote') == SMALL
        world.set_log_faults(LogFaults())
        assert served_version(world, 'entry-1', 'quote') == SMALL

    def test_response_has_a_token(self, world: World) -> None:
        caller = Caller(world.address_of('entry-1'), WORKSPACE_KEY)
        reply = caller.chat(headers={'X-Session': 'quote'})
        assert reply.headers['x-session-token']
        assert 'x-session-token' not in caller.chat().headers
