"""Compare rules of replica choice under lagging reports.

Run `script/bench replicas`. Seeded and in one process: several
daemons choose between the same replicas, each by its own reports of the given
age. A request is crowded when it finds every slot of its replica taken.
"""

import dataclasses
import heapq
import itertools
import random
import statistics
import time
from collections.abc import Callable
from typing import Final

from marigoldhoist.components.placement.loads import LoadContext, replica_views
from marigoldhoist.components.placement.replicas import (
    PickContext,
    pick_replica,
)
from marigoldhoist.components.upstreams.models import LoadReport, Replica

DAEMONS: Final = (3, 9, 40)
REPLICAS: Final = 9
MEAN_SLOTS: Final = 8
EVEN: Final = (8,) * REPLICAS
UNEVEN: Final = (4, 4, 4, 8, 8, 8, 12, 12, 12)
SERVICE_TIME_S: Final = 3.0
RUN_S: Final = 100.0
LOADS: Final = (0.75, 0.9)
LAGS_S: Final = (1.0, 5.0)
SEEDS: Final = (1, 2)
DOMAIN: Final = 'one'
US_PER_S: Final = 1_000_000

Rule = Callable[[list[Replica], float, random.Random], Replica]
rule_by_name: dict[str, Rule] = {}


def rule(name: str) -> Callable[[Rule], Rule]:
    """Register a rule of choice."""

    def register(chosen: Rule) -> Rule:
        rule_by_name[name] = chosen
        return chosen

    return register


@rule('estimate')
def by_estimate(
    fleet: list[Replica], now_s: float, rng: random.Random
) -> Replica:
    """Choose as the daemon does."""
    views = replica_views(fleet, LoadContext(now_s, SERVICE_TIME_S))
    picked = pick_replica(views, PickContext(DOMAIN, rng))
    return fleet[0] if picked is None else fleet[int(picked.host)]


@rule('least reported')
def by_report(
    fleet: list[Replica], _now_s: float, _rng: random.Random
) -> Replica:
    """Choose the least loaded by report and own requests since."""
    return min(fleet, key=_reported)


@rule('two choices')
def by_two(fleet: list[Replica], _now_s: float, rng: random.Random) -> Replica:
    """Choose the less loaded of two at random."""
    return min(rng.sample(fleet, 2), key=_reported)


@rule('least own')
def by_own(fleet: list[Replica], _now_s: float, rng: random.Random) -> Replica:
    """Choose by the daemon's own requests alone."""
    return min(
        fleet, key=lambda one: ((one.in_flight + 1) / one.slots, rng.random())
    )


@rule('random')
def by_chance(
    fleet: list[Replica], _now_s: float, rng: random.Random
) -> Replica:
    """Choose evenly."""
    return rng.choice(fleet)


def _reported(replica: Replica) -> float:
    report = replica.report
    others = report.in_flight - report.own_in_flight if report else 0
    return (others + replica.in_flight + 1) / replica.slots


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """One run: rule, daemons, slots, load per slot and age of reports."""

    rule: str
    daemons: int
    slots: tuple[int, ...]
    load: float
    lag_s: float
    seed: int


class Replay:
    """Plays arrivals, ends and reports in the order of their times."""

    def __init__(self, trial: Trial) -> None:
        self._trial = trial
        self._rng = random.Random(trial.seed)
        self._rule_rng = random.Random(trial.seed)
        self._running = [0 for _ in trial.slots]
        self._fleets = [_fleet() for _ in range(trial.daemons)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._count = 0
        self.crowded = 0
        self.arrived = 0
        self.cost_us: float = 0

    def run(self) -> float:
        """Return the share of crowded requests."""
        self._plan(0, self._arrive)
        for fleet in self._fleets:
            self._plan(
                self._rng.random() * self._trial.lag_s, self._read(fleet)
            )
        while self._events[0][0] < RUN_S:
            now_s, _, happen = heapq.heappop(self._events)
            happen(now_s)
        return self.crowded / self.arrived

    def _plan(self, time_s: float, happen: Callable[[float], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (time_s, self._count, happen))

    def _arrive(self, now_s: float) -> None:
        rate = self._trial.load * REPLICAS * MEAN_SLOTS / SERVICE_TIME_S
        self._plan(now_s + self._rng.expovariate(rate), self._arrive)
        fleet = self._rng.choice(self._fleets)
        started_s = time.thread_time()
        chosen = rule_by_name[self._trial.rule](fleet, now_s, self._rule_rng)
        self.cost_us += (time.thread_time() - started_s) * US_PER_S
        number = int(chosen.host)
        self.arrived += 1
        self.crowded += self._running[number] >= self._trial.slots[number]
        self._running[number] += 1
        chosen.begin_request()
        lasts_s = self._rng.expovariate(1 / SERVICE_TIME_S)
        self._plan(now_s + lasts_s, self._end(chosen, number))

    def _end(self, chosen: Replica, number: int) -> Callable[[float], None]:
        def end(_now_s: float) -> None:
            self._running[number] -= 1
            chosen.end_request()

        return end

    def _read(self, fleet: list[Replica]) -> Callable[[float], None]:
        def read(now_s: float) -> None:
            self._plan(now_s + self._trial.lag_s, read)
            for number, one in enumerate(fleet):
                one.report = LoadReport(
                    in_flight=self._running[number],
                    slots=self._trial.slots[number],
                    own_in_flight=one.in_flight,
                    counted_s=now_s,
                )

        return read


def _fleet() -> list[Replica]:
    return [
        Replica(str(number), '', 0, DOMAIN, (), first_seen_s=-RUN_S)
        for number in range(REPLICAS)
    ]


def main() -> None:
    """Print the share of crowded requests for each rule and setting."""
    print('daemons slots  load lag s  rule            crowded      us a choice')
    settings = itertools.product(
        DAEMONS, (EVEN, UNEVEN), LOADS, LAGS_S, rule_by_name
    )
    for daemons, slots, load, lag_s, name in settings:
        _print_row(
            [Trial(name, daemons, slots, load, lag_s, seed) for seed in SEEDS]
        )


def _print_row(trials: list[Trial]) -> None:
    replays = [Replay(trial) for trial in trials]
    shares = ' '.join(f'{replay.run():.3f}' for replay in replays)
    cost_us = statistics.mean(one.cost_us / one.arrived for one in replays)
    first = trials[0]
    kind = 'even' if first.slots == EVEN else 'uneven'
    print(
        f'{first.daemons:<7} {kind:<6} {first.load:<4} {first.lag_s:<6} '
        f'{first.rule:<15} {shares:<12} {cost_us:.0f}'
    )


if __name__ == '__main__':
    main()
