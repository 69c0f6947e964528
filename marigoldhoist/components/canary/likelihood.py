"""Likelihood of a fault in a new version, given its answers.

Two hypotheses are compared by their likelihood ratio: that a share of the new
version's answers has a fault, and that it behaves like the baseline, the other
versions. While the version is healthy, the ratio ever exceeds
a limit with a probability of at most one divided by the limit (Ville, 1939), so
it can be looked at after each answer.
"""

import dataclasses
import itertools
import math
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from marigoldhoist.components.canary.evidence import (
    PRIOR_ANSWERS,
    PRIOR_SLOW_ANSWERS,
    Evidence,
    GroupCounts,
)

# Share of a bad version's answers that have the fault.
FAULT_SHARE: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Outcomes:
    """Counts of bad and of all answers: new version and baseline.

    `prior_bad` of `prior_total` answers are added to the baseline, so that
    its rate of bad answers is never zero.
    """

    bad: int
    total: int
    baseline_bad: int
    baseline_total: int
    prior_bad: float
    prior_total: float

    @property
    def baseline_rate(self) -> float:
        """Return the baseline's rate of bad answers."""
        return (self.prior_bad + self.baseline_bad) / (
            self.prior_total + self.baseline_total
        )

    @property
    def log_likelihood_ratio(self) -> float:
        """Return the log of the ratio of a fault to none, 0 if unknown."""
        rate = self.baseline_rate
        rate_with_fault = rate + FAULT_SHARE * (1 - rate)
        good = self.total - self.bad
        return self.bad * math.log(rate_with_fault / rate) + good * math.log(
            1 - FAULT_SHARE
        )


def by_route(
    starts: Evidence,
) -> Iterator[tuple[str, list[GroupCounts]]]:
    """Yield the counts by route; models of one route are taken together."""
    return grouped(starts, _route)


def grouped(
    evidence: Iterable[GroupCounts], key: Callable[[GroupCounts], str]
) -> Iterator[tuple[str, list[GroupCounts]]]:
    """Yield the counts by the name that a function returns for them."""
    for name, group in itertools.groupby(sorted(evidence, key=key), key):
        yield name, list(group)


def _route(counts: GroupCounts) -> str:
    route, separator, _ = counts.group.request_class.rpartition('/')
    return route if separator else counts.group.request_class


def measure_name(counts: GroupCounts) -> str:
    """Return the name of what was compared."""
    return counts.group.measure.value


def slow_answers(group: Iterable[GroupCounts]) -> Outcomes:
    """Return the slow answers among the compared ones."""
    counts = list(group)
    return Outcomes(
        sum(each.slow for each in counts),
        sum(each.compared for each in counts),
        sum(each.baseline_slow for each in counts),
        sum(each.baseline_compared for each in counts),
        PRIOR_SLOW_ANSWERS,
        PRIOR_ANSWERS,
    )
