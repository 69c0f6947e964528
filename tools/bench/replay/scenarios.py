"""Scenarios of the policy benchmark: load levels and faults."""

import dataclasses
from collections.abc import Callable

from tools.bench.replay.replay import QualityDrop, Replay
from tools.bench.replay.stream import Flood
from tools.bench.replay.workload import Workload

# Loads are shares of the capacity.
STEADY_LOAD = 0.6
FLOOD_LOAD = 0.8
# Faults and floods start after this share of the replay.
EVENT_START_SHARE = 0.3

SetUp = Callable[[Replay, Workload, float], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A load level, and a set-up that schedules faults.

    The load is a share of the capacity; zero selects the workload's own rate.
    A flooded scenario has one workspace with excess requests. A cold one
    starts with an untrained learner. A quick one has the workload's shorter
    deadline for the first token.
    """

    name: str
    load: float
    set_up: SetUp
    is_flooded: bool = False
    is_cold: bool = False
    is_quick: bool = False

    def requests_per_s(self, workload: Workload) -> float:
        """Return the request rate of the replayed daemons."""
        rate = self.load * workload.capacity_per_s
        if not self.load:
            steady = STEADY_LOAD * workload.capacity_per_s
            rate = workload.requests_per_s or steady
        return rate * workload.replayed_share

    def flood(self, workload: Workload, length_s: float) -> Flood | None:
        """Return the excess requests of the last workspace, if any.

        `length_s` is the length of the replay in seconds.
        """
        if not self.is_flooded:
            return None
        rate = FLOOD_LOAD * workload.capacity_per_s * workload.replayed_share
        name = f'ws-{workload.workspaces}'
        return Flood(name, rate, EVENT_START_SHARE * length_s)


scenario_by_name: dict[str, Scenario] = {}


def scenario(
    name: str,
    load: float = 0,
    *,
    is_flooded: bool = False,
    is_cold: bool = False,
    is_quick: bool = False,
) -> Callable[[SetUp], SetUp]:
    """Return a decorator that registers the set-up of a scenario."""

    def register(set_up: SetUp) -> SetUp:
        scenario_by_name[name] = Scenario(
            name, load, set_up, is_flooded, is_cold, is_quick
        )
        return set_up

    return register


def schedule_nothing(_replay: Replay, _workload: Workload, _s: float) -> None:
    """Schedule no fault."""


scenario('steady')(schedule_nothing)
scenario('cold start', is_cold=True)(schedule_nothing)
scenario('load 0.5', 0.5)(schedule_nothing)
scenario('load 0.9', 0.9)(schedule_nothing)
scenario('load 0.9 quick', 0.9, is_quick=True)(schedule_nothing)
scenario('load 1.0', 1)(schedule_nothing)
scenario('load 2.0', 2)(schedule_nothing)
scenario('flood', is_flooded=True)(schedule_nothing)


@scenario('replica loss')
def fail_replica(replay: Replay, workload: Workload, length_s: float) -> None:
    """Fail one replica of the workload's bad version."""
    engines = replay.fleet.engines_by_version[workload.bad_version]
    replay.scheduler.call_at(
        EVENT_START_SHARE * length_s, lambda: replay.fleet.fail(engines[:1])
    )


@scenario('domain loss')
def fail_domain(replay: Replay, workload: Workload, length_s: float) -> None:
    """Fail all replicas of one failure domain, if there are others."""
    if workload.failure_domains == 1:
        return
    failed = replay.fleet.engines_in_domain('domain-0')
    replay.scheduler.call_at(
        EVENT_START_SHARE * length_s, lambda: replay.fleet.fail(failed)
    )


@scenario('stale reports')
def delay_reports(replay: Replay, workload: Workload, _length_s: float) -> None:
    """Report loads at a longer interval."""
    replay.fleet.set_report_age(workload.stale_report_age_s)


def _set_up_quality_drop(bad_share: float) -> SetUp:
    def set_up(replay: Replay, workload: Workload, length_s: float) -> None:
        quality_drop = QualityDrop(
            workload.bad_version, bad_share, EVENT_START_SHARE * length_s
        )
        replay.quality_drop = quality_drop
        replay.scheduler.call_at(
            quality_drop.start_s, lambda: replay.inform_oracle(quality_drop)
        )

    return set_up


scenario('bad 2%')(_set_up_quality_drop(0.02))
scenario('bad 20%')(_set_up_quality_drop(0.2))
scenario('bad 100%')(_set_up_quality_drop(1))
