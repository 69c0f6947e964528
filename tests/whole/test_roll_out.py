"""A roll-out through whole daemons, with nobody awake."""

from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.models import RollOutState
from marigoldhoist.components.table.service import TableService
from tools.standins.engine import EngineFaults
from tools.world.caller import Caller
from tools.world.samples import SAMPLE_ROWS, WORKSPACE_KEY
from tools.world.world import World, wait_until

MODEL = 'pult-model'
ROWS = SAMPLE_ROWS | {
    'model/pult-model': {
        'weights_by_version': {'small': 20, 'large': 80},
        'roll_out': {
            'version': 'large',
            'steps': [10, 60],
            'dwell_ms': 800,
            'least_answers': 1,
        },
    },
}


def state_of(world: World) -> RollOutState | None:
    """Return the state of the roll-out in the table in force."""
    table = world.kernels_by_host['entry-1'].find(TABLE, TableService)
    row = table.state.model(MODEL)
    return row.roll_out.state if row and row.roll_out else None


def send_some(world: World) -> None:
    """Send a few requests."""
    for host in world.kernels_by_host:
        for _ in range(10):
            Caller(world.address_of(host), WORKSPACE_KEY).chat(max_tokens=2)


class TestRollOut:
    """The lease's holder moves it; a bad version is reverted."""

    def test_goes_on_to_the_end(self) -> None:
        with World(ROWS) as world:
            start(world)
            wait_until(lambda: advanced(world, RollOutState.DONE), 'done')

    def test_held_version_is_reverted(self) -> None:
        with World(ROWS) as world:
            start(world)
            world.engines_by_host['engine-2'].faults = EngineFaults(
                fail_all=True
            )
            wait_until(
                lambda: advanced(world, RollOutState.REVERTED), 'reverted'
            )


def start(world: World) -> None:
    """Start two daemons with an engine for each version."""
    world.add_engine('engine-1', 'zg-trnje', 'pult-model/small')
    world.add_engine('engine-2', 'zg-trnje', 'pult-model/large')
    for host in ('entry-1', 'entry-2'):
        world.add_daemon(host, 'zg-trnje')


def advanced(world: World, state: RollOutState) -> bool:
    """Send a few requests and tell whether the roll-out got that far."""
    send_some(world)
    return state_of(world) is state
