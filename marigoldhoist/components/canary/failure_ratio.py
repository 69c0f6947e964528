"""Likelihood ratios of a fault by the failures of a new version.

Failures are compared by stratum of time, each with what the baseline did then.
A daemon fleet has few answers of the baseline in a stratum, so its rate of
failures is not known well: it is the usual one or, if something is wrong with
the replicas of all versions at that time, any other. How likely each is follows
from the failures of the baseline on all routes in the stratum.
"""

import dataclasses
import functools
import itertools
import math
from collections.abc import Iterable, Iterator
from typing import Final

from marigoldhoist.components.canary.evidence import Evidence, GroupCounts
from marigoldhoist.components.canary.likelihood import FAULT_SHARE, by_route
from marigoldhoist.components.canary.strata import (
    MAX_STRATA,
    STRATUM_S,
    Stratum,
    StratumSeries,
    in_steps_from_now,
    pooled,
)

# Log odds that the baseline has its usual rate in a stratum, before its answers
# are looked at.
LOG_ODDS_OF_USUAL: Final = math.log(9)
# Answers of the baseline from which its rate in a stratum is estimated, at
# least.
MIN_CLOSEST_ANSWERS: Final = 2
NO_ANSWERS: Final = Stratum(0, 0, 0, 0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class FailureRate:
    """What is known of a rate of failures: a beta distribution.

    It begins as Jeffreys' prior and is updated by `failures` of `answers`.
    """

    failures: int = 0
    answers: int = 0

    def log_likelihood(self, failures: int, answers: int) -> float:
        """Return the log probability of further answers."""
        return _log_beta(
            self._alpha + failures, self._beta + answers - failures
        ) - _log_beta(self._alpha, self._beta)

    def log_likelihood_with_fault(self, failures: int, answers: int) -> float:
        """Return the log probability of answers of which a share is faulty."""
        good = answers - failures
        return (
            good * math.log(1 - FAULT_SHARE)
            - _log_beta(self._alpha, self._beta)
            + _log_sum(
                *(
                    _log_binomial(failures, usual)
                    + usual * math.log(1 - FAULT_SHARE)
                    + (failures - usual) * math.log(FAULT_SHARE)
                    + _log_beta(self._alpha + usual, self._beta + good)
                    for usual in range(failures + 1)
                )
            )
        )

    @property
    def mean(self) -> float:
        """Return the expected rate."""
        return self._alpha / (self._alpha + self._beta)

    @property
    def _alpha(self) -> float:
        return self.failures + 1 / 2

    @property
    def _beta(self) -> float:
        return self.answers - self.failures + 1 / 2


@dataclasses.dataclass(frozen=True, slots=True)
class FailureOutcomes:
    """Failures and answers of a new version, and the ratio of a fault.

    `baseline_rate` is the usual rate of failures of the baseline.
    """

    bad: int
    total: int
    log_likelihood_ratio: float
    baseline_rate: float


class _Baseline:
    """The answers of the baseline on one route or on all of them."""

    def __init__(self, counts: Evidence) -> None:
        self._counts = counts
        self.failures = sum(each.baseline_failures for each in counts)
        self.answers = sum(each.baseline_answers for each in counts)

    @property
    def rate(self) -> FailureRate:
        """Return the rate of failures of all answers."""
        return FailureRate(self.failures, self.answers)

    def rate_at(self, steps: int) -> FailureRate:
        """Return the rate of failures in and around a stratum.

        As few strata as possible are taken, the closest ones first.
        """
        closest = self._at(steps)
        distance = 0
        while (
            closest.baseline_answers < MIN_CLOSEST_ANSWERS
            and distance < MAX_STRATA
        ):
            distance += 1
            closest = self._between(steps - distance, steps + distance)
        return FailureRate(closest.baseline_failures, closest.baseline_answers)

    def log_odds_of_usual(self, steps: int) -> float:
        """Return the log odds of the usual rate in a stratum against any.

        Trouble lasts, so the strata before and after are looked at as well.
        """
        return LOG_ODDS_OF_USUAL + min(
            self._log_evidence_for_usual(self._at(steps)),
            self._log_evidence_for_usual(self._between(steps - 1, steps + 1)),
        )

    def _log_evidence_for_usual(self, stratum: Stratum) -> float:
        observed = stratum.baseline_failures, stratum.baseline_answers
        usual = _log_likelihood(self.rate.mean, *observed)
        return usual - FailureRate().log_likelihood(*observed)

    def _between(self, newest: int, oldest: int) -> Stratum:
        return functools.reduce(
            Stratum.plus, map(self._at, range(newest, oldest + 1))
        )

    def _at(self, steps: int) -> Stratum:
        return self._stratum_by_steps.get(steps, NO_ANSWERS)

    @functools.cached_property
    def _stratum_by_steps(self) -> dict[int, Stratum]:
        strata = pooled(_series(self._counts))
        return {stratum.steps: stratum for stratum in strata}


def failures_by_route(
    starts: Evidence, max_age_s: float = math.inf
) -> dict[str, FailureOutcomes]:
    """Return the failures of each route among answers up to an age.

    A route that the baseline has no answers on is compared with all routes.
    """
    service = _Baseline(starts)
    return {
        route: _outcomes(group, service, max_age_s)
        for route, group in by_route(starts)
    }


def _outcomes(
    group: list[GroupCounts], service: _Baseline, max_age_s: float
) -> FailureOutcomes:
    of_route = _Baseline(group)
    baseline = of_route if of_route.answers else service
    max_steps = max_age_s / STRATUM_S
    strata = [
        stratum
        for stratum in _target_strata(group)
        if stratum.steps <= max_steps
    ]
    return FailureOutcomes(
        bad=sum(stratum.failures for stratum in strata),
        total=sum(stratum.answers for stratum in strata),
        log_likelihood_ratio=sum(
            _log_ratio(stratum, baseline, service) for stratum in strata
        ),
        baseline_rate=baseline.rate.mean,
    )


def _target_strata(group: Evidence) -> Iterable[Stratum]:
    """Return the strata of the new version, summed if any has failures.

    Their steps are counted from the present.
    """
    if any(counts.failures for counts in group):
        return pooled(_series(group))
    return itertools.chain.from_iterable(map(in_steps_from_now, _series(group)))


def _log_ratio(
    stratum: Stratum, baseline: _Baseline, service: _Baseline
) -> float:
    """Return the log of the ratio of a fault to none in a stratum."""
    if not stratum.failures:
        return stratum.answers * math.log(1 - FAULT_SHARE)
    observed = stratum.failures, stratum.answers
    log_odds = service.log_odds_of_usual(stratum.steps)
    at_any_rate = baseline.rate_at(stratum.steps)
    usual = baseline.rate.mean
    with_fault = _log_sum(
        log_odds + _log_likelihood(_with_fault(usual), *observed),
        at_any_rate.log_likelihood_with_fault(*observed),
    )
    with_none = _log_sum(
        log_odds + _log_likelihood(usual, *observed),
        at_any_rate.log_likelihood(*observed),
    )
    return with_fault - with_none


def _with_fault(rate: float) -> float:
    return rate + FAULT_SHARE * (1 - rate)


def _log_likelihood(rate: float, failures: int, answers: int) -> float:
    """Return the log probability of answers at a known rate of failures."""
    good = answers - failures
    return failures * math.log(rate) + good * math.log(1 - rate)


def _series(counts: Iterable[GroupCounts]) -> Iterator[StratumSeries]:
    for each in counts:
        yield from each.all_series


def _log_sum(*logs: float) -> float:
    """Return the log of the sum of numbers given by their logs."""
    largest = max(logs)
    return largest + math.log(sum(math.exp(each - largest) for each in logs))


def _log_beta(alpha: float, beta: float) -> float:
    return math.lgamma(alpha) + math.lgamma(beta) - math.lgamma(alpha + beta)


def _log_binomial(total: int, chosen: int) -> float:
    return -math.log(total + 1) - _log_beta(total - chosen + 1, chosen + 1)
