"""Decide whether the evidence clears a new version of a suspected fault.

A roll-out that was completed cannot be undone, as the old replicas stop. The
absence of a regression is therefore not enough to go on: without answers there
is none, and with a failing baseline it does not stand out. The evidence has to
speak for the new version. Only its recent answers count, as it may turn bad at
any time.
"""

import dataclasses
import functools
import math
from collections.abc import Iterable, Iterator
from typing import Final

from marigoldhoist.components.canary.const import MIN_RECENT_S
from marigoldhoist.components.canary.evidence import (
    Evidence,
    GroupCounts,
    Measure,
    RecentCounts,
)
from marigoldhoist.components.canary.failure_ratio import (
    failures_by_route,
)
from marigoldhoist.components.canary.likelihood import (
    Outcomes,
    by_route,
    grouped,
    measure_name,
    slow_answers,
)

# Routes with a smaller share of the recent answers of all versions give too
# little evidence to wait for.
MIN_ROUTE_SHARE: Final = 0.05
# A route on which the baseline fails more often than this cannot show a fault.
MAX_BASELINE_FAILURE_RATE: Final = 0.8
# Age of the answers that must not speak against a version on any route when it
# is completed, although earlier ones cleared it.
LATEST_S: Final = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Clearance:
    """Likelihood ratios of a fault that are low enough to go on.

    `service` is the limit for the failures on all routes together, `route` the
    one for the failures on each route, `latest_route` the one for the latest
    failures on each route, `log_slowness` the logarithm of the one for slow
    answers.
    """

    service: float
    route: float
    latest_route: float
    log_slowness: float


# Sessions can be moved back after the ramp, and all of them give more evidence:
# no route has to speak for the version yet.
TO_RAMP_UP: Final = Clearance(
    service=0.05, route=2, latest_route=2, log_slowness=math.log(0.05)
)
TO_COMPLETE: Final = Clearance(
    service=0.02, route=0.02, latest_route=1, log_slowness=0
)


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyCounts:
    """Compared and slow answers of the new version and of its baseline."""

    compared: int
    slow: int
    baseline_compared: int
    baseline_slow: int


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """Log likelihood ratios of a fault, by what was compared.

    `recent` are the recent answers of both versions, `baseline_answers` and
    `baseline_failures` all remembered ones. `failures_by_route` and
    `latest_failures_by_route` have no routes that can show little; `failures`
    and `slowness` are the ratios of all answers. `latencies` are the answers
    whose latencies were compared.
    """

    recent: RecentCounts
    baseline_answers: int
    baseline_failures: int
    failures: float
    failures_by_route: dict[str, float]
    latest_failures_by_route: dict[str, float]
    slowness: float
    latencies: LatencyCounts

    @property
    def is_idle(self) -> bool:
        """Return whether the service had no answers from any version."""
        return not self.recent.answers and not self.baseline_answers

    def allows(self, clearance: Clearance) -> bool:
        """Return whether every ratio is low enough."""
        if self.is_idle:
            return True
        # Without slow answers there may have been few to compare.
        is_slow = self.latencies.slow and self.slowness > clearance.log_slowness
        return (
            not is_slow
            and self.failures <= math.log(clearance.service)
            and _are_all_below(self.failures_by_route, clearance.route)
            and _are_all_below(
                self.latest_failures_by_route, clearance.latest_route
            )
        )

    def log_fields(self) -> dict[str, object]:
        """Return log fields with the inputs and the ratios."""
        return {
            'answers': self.recent.answers,
            'failures': self.recent.failures,
            'baseline_answers': self.baseline_answers,
            'baseline_failures': self.baseline_failures,
            'recent_baseline_answers': self.recent.baseline_answers,
            'recent_baseline_failures': self.recent.baseline_failures,
            'failure_ratio': round(self.failures, 2),
            'failure_ratio_by_route': {
                route: round(ratio, 2)
                for route, ratio in self.failures_by_route.items()
            },
            'latest_ratio': round(
                max(self.latest_failures_by_route.values(), default=0), 2
            ),
            'slow_ratio': round(self.slowness, 2),
            'compared': self.latencies.compared,
            'slow': self.latencies.slow,
            'baseline_compared': self.latencies.baseline_compared,
            'baseline_slow': self.latencies.baseline_slow,
        }


def _are_all_below(ratio_by_route: dict[str, float], limit: float) -> bool:
    return all(ratio <= math.log(limit) for ratio in ratio_by_route.values())


def assess(evidence: Evidence, recent_s: float = MIN_RECENT_S) -> Assessment:
    """Return the assessment of the pooled evidence of all daemons.

    Answers of the last `recent_s` seconds are recent.
    """
    starts = [
        counts for counts in evidence if counts.group.measure is Measure.START
    ]
    rare = _rare_routes(starts)
    outcomes_by_route = failures_by_route(starts, recent_s)
    slow_outcomes = list(_slow_outcomes(evidence))
    recent_slow_outcomes = _slow_outcomes(
        counts.with_recent_latencies()
        for counts in evidence
        if counts.recent.slow
    )
    return Assessment(
        recent=functools.reduce(
            RecentCounts.plus,
            (counts.recent for counts in starts),
            RecentCounts(0, 0, 0),
        ),
        baseline_answers=sum(counts.baseline_answers for counts in starts),
        baseline_failures=sum(counts.baseline_failures for counts in starts),
        failures=sum(
            outcomes.log_likelihood_ratio
            for outcomes in outcomes_by_route.values()
        ),
        failures_by_route={
            route: outcomes.log_likelihood_ratio
            for route, outcomes in outcomes_by_route.items()
            if route not in rare
            and outcomes.baseline_rate <= MAX_BASELINE_FAILURE_RATE
        },
        latest_failures_by_route={
            route: outcomes.log_likelihood_ratio
            for route, outcomes in failures_by_route(starts, LATEST_S).items()
            if route not in rare
            and outcomes.baseline_rate <= MAX_BASELINE_FAILURE_RATE
        },
        slowness=max(
            (
                outcomes.log_likelihood_ratio
                for outcomes in (*slow_outcomes, *recent_slow_outcomes)
            ),
            default=0,
        ),
        latencies=LatencyCounts(
            compared=sum(outcomes.total for outcomes in slow_outcomes),
            slow=sum(outcomes.bad for outcomes in slow_outcomes),
            baseline_compared=sum(
                outcomes.baseline_total for outcomes in slow_outcomes
            ),
            baseline_slow=sum(
                outcomes.baseline_bad for outcomes in slow_outcomes
            ),
        ),
    )


def _slow_outcomes(evidence: Iterable[GroupCounts]) -> Iterator[Outcomes]:
    """Yield the slow answers by what was measured."""
    for _, group in grouped(evidence, measure_name):
        yield slow_answers(group)


def _rare_routes(starts: Evidence) -> set[str]:
    """Return routes that are not in use or have few of the recent answers."""
    recent_by_route = {
        route: sum(map(_recent_answers, group))
        for route, group in by_route(starts)
    }
    min_recent = MIN_ROUTE_SHARE * sum(recent_by_route.values())
    return {
        route
        for route, recent in recent_by_route.items()
        if not recent or recent < min_recent
    }


def _recent_answers(counts: GroupCounts) -> int:
    return counts.recent.answers + counts.recent.baseline_answers
