"""What goes wrong in a replay, by name."""

import dataclasses
from collections.abc import Callable

from tools.bench.replay.replay import BadTurn, Replay
from tools.bench.replay.stream import Flood
from tools.bench.replay.workload import Workload

STEADY_LOAD = 0.6
FLOOD_LOAD = 0.8
START_SHARE = 0.3

Prepare = Callable[[Replay, Workload, float], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A load as a share of capacity, and what happens on the way.

    A load of zero is the workload's own rate.
    """

    name: str
    load: float
    prepare: Prepare
    is_flooded: bool = False
    is_cold: bool = False
    is_quick: bool = False

    def requests_per_s(self, workload: Workload) -> float:
        """Return the rate that the replayed daemons get."""
        rate = self.load * workload.capacity_per_s
        if not self.load:
            steady = STEADY_LOAD * workload.capacity_per_s
            rate = workload.requests_per_s or steady
        return rate * workload.replayed_share

    def flood(self, workload: Workload, length_s: float) -> Flood | None:
        """Return the workspace that floods, if any."""
        if not self.is_flooded:
            return None
        rate = FLOOD_LOAD * workload.capacity_per_s * workload.replayed_share
        name = f'ws-{workload.workspaces}'
        return Flood(name, rate, START_SHARE * length_s)


scenarios_by_name: dict[str, Scenario] = {}


def scenario(
    name: str,
    load: float = 0,
    *,
    is_flooded: bool = False,
    is_cold: bool = False,
    is_quick: bool = False,
) -> Callable[[Prepare], Prepare]:
    """Register what prepares the scenario of that name."""

    def register(prepare: Prepare) -> Prepare:
        scenarios_by_name[name] = Scenario(
            name, load, prepare, is_flooded, is_cold, is_quick
        )
        return prepare

    return register


def change_nothing(_replay: Replay, _workload: Workload, _s: float) -> None:
    """Leave the replay as it is."""


scenario('steady')(change_nothing)
scenario('cold start', is_cold=True)(change_nothing)
scenario('load 0.5', 0.5)(change_nothing)
scenario('load 0.9', 0.9)(change_nothing)
scenario('load 0.9 quick', 0.9, is_quick=True)(change_nothing)
scenario('load 1.0', 1)(change_nothing)
scenario('load 2.0', 2)(change_nothing)
scenario('flood', is_flooded=True)(change_nothing)


@scenario('replica loss')
def lose_replica(replay: Replay, workload: Workload, length_s: float) -> None:
    """Lose one replica of the version that may turn bad."""
    engines = replay.fleet.engines_by_version[workload.bad_version]
    replay.clockwork.at(
        START_SHARE * length_s, lambda: replay.fleet.fail(engines[:1])
    )


@scenario('domain loss')
def lose_domain(replay: Replay, workload: Workload, length_s: float) -> None:
    """Lose all replicas of one failure domain, if there are others."""
    if workload.failure_domains == 1:
        return
    lost = replay.fleet.in_domain('domain-0')
    replay.clockwork.at(START_SHARE * length_s, lambda: replay.fleet.fail(lost))


@scenario('stale reports')
def report_late(replay: Replay, workload: Workload, _length_s: float) -> None:
    """Let load reports grow old."""
    replay.fleet.set_report_age(workload.stale_report_age_s)


def _turn(share: float) -> Prepare:
    def prepare(replay: Replay, workload: Workload, length_s: float) -> None:
        turn = BadTurn(workload.bad_version, share, START_SHARE * length_s)
        replay.turn = turn
        replay.clockwork.at(turn.at_s, lambda: replay.tell(turn))

    return prepare


scenario('bad 2%')(_turn(0.02))
scenario('bad 20%')(_turn(0.2))
scenario('bad 100%')(_turn(1))
