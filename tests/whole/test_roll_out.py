"""End-to-end tests of an automatic roll-out."""

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
    """Return the roll-out's state in the table in force at entry-1."""
    table = world.kernels_by_host['entry-1'].find(TABLE, TableService)
    row = table.state.model(MODEL)
    return row.roll_out.state if row and row.roll_out else None


def send_requests(world: World) -> None:
    """Send ten requests to each daemon."""
    for host in world.kernels_by_host:
        for _ in range(10):
            Caller(world.address_of(host), WORKSPACE_KEY).chat(max_tokens=2)


class TestRollOut:
    """The lease holder advances the roll-out or reverts a bad version."""

    def test_advances_to_the_last_step(self) -> None:
        with World(ROWS) as world:
            start(world)
            wait_until(
                lambda: send_and_check_state(world, RollOutState.DONE),
                'the state DONE',
            )

    def test_held_version_is_reverted(self) -> None:
        with World(ROWS) as world:
            start(world)
            world.engines_by_host['engine-2'].faults = EngineFaults(
                fail_all=True
            )
            wait_until(
                lambda: send_and_check_state(world, RollOutState.REVERTED),
                'the state REVERTED',
            )


def start(world: World) -> None:
    """Start two daemons with an engine for each version."""
    world.add_engine('engine-1', 'zg-trnje', 'pult-model/small')
    world.add_engine('engine-2', 'zg-trnje', 'pult-model/large')
    for host in ('entry-1', 'entry-2'):
        world.add_daemon(host, 'zg-trnje')


def send_and_check_state(world: World, state: RollOutState) -> bool:
    """Send requests and return whether the roll-out is in the state."""
    send_requests(world)
    return state_of(world) is state
