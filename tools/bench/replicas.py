"""Compare rules for selecting a replica by stale load reports.

Run `script/bench replicas`. A seeded simulation in one process: several
daemons select among the same replicas, each by its own reports of a given age.
A request is crowded if all slots of its replica are in use when it arrives.
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

DAEMON_COUNTS: Final = (3, 9, 40)
REPLICAS: Final = 9
MEAN_SLOTS: Final = 8
EVEN_SLOTS: Final = (8,) * REPLICAS
UNEVEN_SLOTS: Final = (4, 4, 4, 8, 8, 8, 12, 12, 12)
SERVICE_TIME_S: Final = 3.0
DURATION_S: Final = 100.0
LOADS: Final = (0.75, 0.9)
REPORT_INTERVALS_S: Final = (1.0, 5.0)
SEEDS: Final = (1, 2)
DOMAIN: Final = 'one'
US_PER_S: Final = 1_000_000

Rule = Callable[[list[Replica], float, random.Random], Replica]
rule_by_name: dict[str, Rule] = {}


def rule(name: str) -> Callable[[Rule], Rule]:
    """Return a decorator that registers a selection rule."""

    def register(function: Rule) -> Rule:
        rule_by_name[name] = function
        return function

    return register


@rule('estimate')
def by_estimate(
    replicas: list[Replica], now_s: float, rng: random.Random
) -> Replica:
    """Select by estimated load, as the daemon does."""
    views = replica_views(replicas, LoadContext(now_s, SERVICE_TIME_S))
    picked = pick_replica(views, PickContext(DOMAIN, rng))
    return replicas[0] if picked is None else replicas[int(picked.host)]


@rule('least reported')
def by_report(
    replicas: list[Replica], _now_s: float, _rng: random.Random
) -> Replica:
    """Select the replica with the least reported load.

    The daemon's own requests are counted at the time of the call.
    """
    return min(replicas, key=_reported_load)


@rule('two choices')
def by_two_choices(
    replicas: list[Replica], _now_s: float, rng: random.Random
) -> Replica:
    """Select the less loaded of two random replicas."""
    return min(rng.sample(replicas, 2), key=_reported_load)


@rule('least own')
def by_own_requests(
    replicas: list[Replica], _now_s: float, rng: random.Random
) -> Replica:
    """Select by the daemon's own requests in flight, ignoring reports."""
    return min(
        replicas,
        key=lambda replica: (
            (replica.in_flight + 1) / replica.slots,
            rng.random(),
        ),
    )


@rule('random')
def by_random(
    replicas: list[Replica], _now_s: float, rng: random.Random
) -> Replica:
    """Select a random replica."""
    return rng.choice(replicas)


def _reported_load(replica: Replica) -> float:
    report = replica.report
    others = report.in_flight - report.own_in_flight if report else 0
    return (others + replica.in_flight + 1) / replica.slots


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """The parameters of a run.

    `slots` are those of each replica, `load` is the mean number of requests
    per slot, `report_interval_s` the time between two reports in seconds.
    """

    rule: str
    daemons: int
    slots: tuple[int, ...]
    load: float
    report_interval_s: float
    seed: int


class Simulation:
    """A run of the arrivals, ends and reports of one trial."""

    def __init__(self, trial: Trial) -> None:
        self._trial = trial
        self._rng = random.Random(trial.seed)
        self._rule_rng = random.Random(trial.seed)
        self._running = [0 for _ in trial.slots]
        self._replicas_by_daemon = [
            _new_replicas() for _ in range(trial.daemons)
        ]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._event_number = 0
        self.crowded = 0
        self.arrived = 0
        self.cost_us: float = 0

    def run(self) -> float:
        """Run the trial and return the share of crowded requests."""
        self._schedule(0, self._arrive)
        for replicas in self._replicas_by_daemon:
            self._schedule(
                self._rng.random() * self._trial.report_interval_s,
                self._reporter(replicas),
            )
        while self._events[0][0] < DURATION_S:
            now_s, _, callback = heapq.heappop(self._events)
            callback(now_s)
        return self.crowded / self.arrived

    def _schedule(
        self, time_s: float, callback: Callable[[float], None]
    ) -> None:
        self._event_number += 1
        heapq.heappush(self._events, (time_s, self._event_number, callback))

    def _arrive(self, now_s: float) -> None:
        rate = self._trial.load * REPLICAS * MEAN_SLOTS / SERVICE_TIME_S
        self._schedule(now_s + self._rng.expovariate(rate), self._arrive)
        replicas = self._rng.choice(self._replicas_by_daemon)
        started_s = time.thread_time()
        selected = rule_by_name[self._trial.rule](
            replicas, now_s, self._rule_rng
        )
        self.cost_us += (time.thread_time() - started_s) * US_PER_S
        number = int(selected.host)
        self.arrived += 1
        self.crowded += self._running[number] >= self._trial.slots[number]
        self._running[number] += 1
        selected.begin_request()
        service_s = self._rng.expovariate(1 / SERVICE_TIME_S)
        self._schedule(now_s + service_s, self._request_end(selected, number))

    def _request_end(
        self, selected: Replica, number: int
    ) -> Callable[[float], None]:
        def end(_now_s: float) -> None:
            self._running[number] -= 1
            selected.end_request()

        return end

    def _reporter(self, replicas: list[Replica]) -> Callable[[float], None]:
        def publish_reports(now_s: float) -> None:
            self._schedule(
                now_s + self._trial.report_interval_s, publish_reports
            )
            for number, replica in enumerate(replicas):
                replica.report = LoadReport(
                    in_flight=self._running[number],
                    slots=self._trial.slots[number],
                    own_in_flight=replica.in_flight,
                    counted_s=now_s,
                )

        return publish_reports


def _new_replicas() -> list[Replica]:
    return [
        Replica(str(number), '', 0, DOMAIN, (), first_seen_s=-DURATION_S)
        for number in range(REPLICAS)
    ]


def main() -> None:
    """Print the share of crowded requests for each rule and case."""
    print('daemons slots  load lag s  rule            crowded      us a choice')
    cases = itertools.product(
        DAEMON_COUNTS,
        (EVEN_SLOTS, UNEVEN_SLOTS),
        LOADS,
        REPORT_INTERVALS_S,
        rule_by_name,
    )
    for daemons, slots, load, report_interval_s, name in cases:
        _print_row(
            [
                Trial(name, daemons, slots, load, report_interval_s, seed)
                for seed in SEEDS
            ]
        )


def _print_row(trials: list[Trial]) -> None:
    simulations = [Simulation(trial) for trial in trials]
    shares = ' '.join(f'{simulation.run():.3f}' for simulation in simulations)
    cost_us = statistics.mean(
        simulation.cost_us / simulation.arrived for simulation in simulations
    )
    first = trials[0]
    kind = 'even' if first.slots == EVEN_SLOTS else 'uneven'
    print(
        f'{first.daemons:<7} {kind:<6} {first.load:<4} '
        f'{first.report_interval_s:<6} '
        f'{first.rule:<15} {shares:<12} {cost_us:.0f}'
    )


if __name__ == '__main__':
    main()
