"""A model of a roll-out at several daemons, with their decision code.

It plays callers, replicas and gossip; there is no network.
"""

import dataclasses
import itertools
import random
from typing import Final

from marigoldhoist.components.canary.analysis import CanaryAnalysis
from marigoldhoist.components.canary.comparison import AnswerSample
from marigoldhoist.components.canary.const import CONTROL_DRAIN_S
from marigoldhoist.components.canary.gate import RollOutGate
from marigoldhoist.components.canary.models import RollOut, RollOutOrder
from marigoldhoist.components.canary.traffic_split import RampSchedule
from marigoldhoist.components.mirrors.findings import FindingExchange
from marigoldhoist.core.clock import SystemClock

SERVICE: Final = 'plain'
OLD: Final = 'v1'
NEW: Final = 'v2'
DAEMONS: Final = 9
CALLS_PER_S: Final = 20
# Calls of each route in ten.
ROUTE_WEIGHTS: Final = (3, 2, 2, 1, 1, 1)
BASELINE_S: Final = 10.0
STEP_S: Final = 0.2
# Each daemon passes its findings on to another one once in this time.
GOSSIP_S: Final = 0.6
TIME_DEVIATION: Final = 0.5
SLOW_FACTOR: Final = 8.0
ORDER: Final = RollOutOrder(SERVICE, NEW, 16)
SCHEDULE: Final = RampSchedule(0.15)


class Clock(SystemClock):
    """A clock that the model advances."""

    now_s: float = 1000

    def boottime_s(self) -> float:
        """Return the model's time."""
        return self.now_s


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with the new version, and with all versions.

    A share of the new version's answers is slow some time after the order, or
    a share of those on one route fails some time after it. One route may fail
    in every version, and a share of all answers between two times after the
    order.
    """

    slow_share: float = 0
    slow_after_s: float = 0
    failing_route: int | None = None
    failure_share: float = 0
    failing_after_s: float = 0
    bad_route: int = 0
    common_failure_share: float = 0
    common_failures_s: tuple[float, float] = (0, 0)


class _Daemon:
    """The roll-out as one daemon sees and decides it."""

    def __init__(self, number: int, clock: Clock) -> None:
        self.findings = FindingExchange(f'd{number}', 1, clock.boottime_s)
        self.analysis = CanaryAnalysis(self.findings, lambda _target: (), clock)
        self.gate = RollOutGate(self.analysis, SCHEDULE, clock)
        self.roll_out = RollOut(ORDER, clock.now_s)

    def advance(self, now_s: float) -> bool:
        """Take the due decisions; return whether to complete."""
        roll_out = self.roll_out
        self.gate.update_ramp(roll_out)
        self.gate.update_control_group(roll_out)
        progress = roll_out.traffic_progress(now_s, SCHEDULE.ramp_starts_at)
        return (
            not roll_out.is_rejected
            and progress > SCHEDULE.drain_ends_at
            and now_s - roll_out.confirmed_s >= CONTROL_DRAIN_S
            and self.gate.may_complete(roll_out)
        )


class RollOutModel:
    """Plays one roll-out until it is decided or given up.

    `bad_times_s` are the times after the order of the slow answers and of the
    failures of the new version alone, `completed_s` and `found_s` those of the
    outcome.
    """

    def __init__(self, seed: int, fault: Fault) -> None:
        self._rng = random.Random(seed)
        self._fault = fault
        self._clock = Clock()
        self._daemons = [
            _Daemon(number, self._clock) for number in range(DAEMONS)
        ]
        self._ordered_s = self._clock.now_s
        self.bad_times_s: list[float] = []
        self.completed_s: float | None = None
        self.found_s: float | None = None

    def run(self, for_s: float) -> None:
        """Play the time before the order and the roll-out."""
        self._ordered_s = self._clock.now_s + BASELINE_S
        self._play(BASELINE_S)
        for daemon in self._daemons:
            daemon.roll_out = RollOut(ORDER, self._clock.now_s)
            daemon.analysis.begin(daemon.roll_out)
        self._play(for_s)

    def _play(self, for_s: float) -> None:
        for step in range(int(for_s / STEP_S)):
            for _ in range(int(CALLS_PER_S * STEP_S)):
                self._clock.now_s += 1 / CALLS_PER_S
                self._call(self._rng.choice(self._daemons))
            if step % int(GOSSIP_S / STEP_S) == 0:
                self._gossip()
            if self._age_s >= 0 and self._is_decided():
                return

    @property
    def _age_s(self) -> float:
        return self._clock.now_s - self._ordered_s

    def _is_decided(self) -> bool:
        if all(daemon.roll_out.is_rejected for daemon in self._daemons):
            self.found_s = self._age_s
        elif any(
            [daemon.advance(self._clock.now_s) for daemon in self._daemons]
        ):
            self.completed_s = self._age_s
        return self.found_s is not None or self.completed_s is not None

    def _call(self, daemon: _Daemon) -> None:
        is_new = self._age_s > 0 and self._gets_new(daemon.roll_out)
        route = self._rng.choices(range(len(ROUTE_WEIGHTS)), ROUTE_WEIGHTS)[0]
        is_slow = is_new and self._is_slow()
        is_bad = is_new and self._is_bad(route)
        if is_slow or is_bad:
            self.bad_times_s.append(self._age_s)
        time_s = self._rng.lognormvariate(0, TIME_DEVIATION)
        daemon.analysis.record(
            SERVICE,
            NEW if is_new else OLD,
            AnswerSample(
                is_bad or self._fails_in_all_versions(route),
                time_s * SLOW_FACTOR if is_slow else time_s,
                f'r{route}/',
            ),
        )

    def _is_slow(self) -> bool:
        return (
            self._age_s >= self._fault.slow_after_s
            and self._rng.random() < self._fault.slow_share
        )

    def _is_bad(self, route: int) -> bool:
        return (
            route == self._fault.bad_route
            and self._age_s >= self._fault.failing_after_s
            and self._rng.random() < self._fault.failure_share
        )

    def _fails_in_all_versions(self, route: int) -> bool:
        begin_s, end_s = self._fault.common_failures_s
        return route == self._fault.failing_route or (
            begin_s <= self._age_s < end_s
            and self._rng.random() < self._fault.common_failure_share
        )

    def _gets_new(self, roll_out: RollOut) -> bool:
        now_s = self._clock.now_s
        return not roll_out.is_rejected and SCHEDULE.is_on_target(
            self._rng.random(),
            roll_out.traffic_progress(now_s, SCHEDULE.ramp_starts_at),
            is_active=False,
            is_confirmed=roll_out.confirmed_s <= now_s,
        )

    def _gossip(self) -> None:
        order = self._rng.sample(self._daemons, DAEMONS)
        for sender, receiver in itertools.pairwise(order):
            receiver.findings.merge(sender.findings.known_findings())
