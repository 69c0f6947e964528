"""Alternative hypotheses of degraded versions, and their likelihood ratios.

A hypothesis gives each category of answers and ratings a log likelihood ratio
against the baseline, the version's behaviour while it was healthy.
"""

import dataclasses
import enum
import math

from marigoldhoist.components.health.const import (
    BASELINE_PRIOR_ANSWERS,
    MAX_UNKNOWN_QUALITY,
    MIN_BASELINE_ANSWERS,
    MIN_BASELINE_FAILURE_RATE,
    MIN_BASELINE_SLOW_RATE,
    QUALITY_MARGIN_DEVIATIONS,
    UNKNOWN_FAULT_RATE,
)
from marigoldhoist.components.quality.cells import ZERO_COUNTS, Counts
from marigoldhoist.components.quality.const import (
    BINS,
    FAILED,
    RATED_BAD,
    RATED_GOOD,
    RATING_ERROR_RATE,
    SLOW,
    SUCCEEDED,
)
from marigoldhoist.components.quality.distribution import DoubtDistribution
from marigoldhoist.components.quality.estimator import Arm


class Fault(enum.Enum):
    """Kind of fault of an answer."""

    WRONG = 'wrong'
    FAILING = 'failing'
    SLOW = 'slow'


@dataclasses.dataclass(frozen=True, slots=True)
class Alternative:
    """Hypothesis that a share of a version's answers has a fault."""

    fault: Fault
    share: float


ALTERNATIVES = tuple(
    Alternative(fault, share)
    for fault, shares in (
        (Fault.WRONG, (0.2, 0.5, 1 - 1e-6)),
        (Fault.FAILING, (0.1, 0.5, 1 - 1e-6)),
        (Fault.SLOW, (0.5, 1 - 1e-6)),
    )
    for share in shares
)


@dataclasses.dataclass(frozen=True, slots=True)
class Baseline:
    """Answers of a version while it was healthy.

    `bin_probabilities` has the probability of each doubt bin, `quality` the
    share of good answers, `failure_rate` and `slow_rate` the shares of failed
    and slow answers.
    """

    bin_probabilities: tuple[float, ...]
    quality: float
    failure_rate: float
    slow_rate: float
    distribution: DoubtDistribution


def estimate_baseline(arm: Arm, distribution: DoubtDistribution) -> Baseline:
    """Return an arm's baseline, with cautious defaults for few answers."""
    doubts = arm.counts[:BINS]
    quality = arm.quality - QUALITY_MARGIN_DEVIATIONS * arm.deviation
    if sum(doubts) < MIN_BASELINE_ANSWERS:
        doubts = list(ZERO_COUNTS[:BINS])
        quality = min(quality, MAX_UNKNOWN_QUALITY)
    weight = sum(doubts) + BASELINE_PRIOR_ANSWERS
    bin_probabilities = tuple(
        (count + BASELINE_PRIOR_ANSWERS * probability) / weight
        for count, probability in zip(
            doubts, distribution.bin_probabilities(quality), strict=True
        )
    )
    return Baseline(
        bin_probabilities=bin_probabilities,
        quality=quality,
        failure_rate=_baseline_rate(arm, FAILED, MIN_BASELINE_FAILURE_RATE),
        slow_rate=_baseline_rate(arm, SLOW, MIN_BASELINE_SLOW_RATE),
        distribution=distribution,
    )


def _baseline_rate(arm: Arm, category: int, min_rate: float) -> float:
    """Return the baseline's share of failed or slow answers."""
    ended = arm.counts[SUCCEEDED] + arm.counts[FAILED] + BASELINE_PRIOR_ANSWERS
    if ended < MIN_BASELINE_ANSWERS:
        return UNKNOWN_FAULT_RATE
    return max(min_rate, arm.counts[category] / ended)


def log_likelihood_ratios(
    baseline: Baseline, alternative: Alternative
) -> list[float]:
    """Return the log likelihood ratio of each category."""
    match alternative.fault:
        case Fault.WRONG:
            return _quality_ratios(baseline, alternative.share)
        case Fault.FAILING:
            return _rate_ratios(
                baseline.failure_rate, FAILED, alternative.share
            )
        case Fault.SLOW:
            ratios = _rate_ratios(baseline.slow_rate, SLOW, alternative.share)
            # A slow answer is counted as SUCCEEDED as well, so the ratio of
            # that category is subtracted.
            ratios[SLOW] -= math.log(1 - alternative.share)
            return ratios


def _rate_ratios(
    baseline_rate: float, category: int, share: float
) -> list[float]:
    ratios: Counts = list(ZERO_COUNTS)
    ratios[SUCCEEDED] = math.log(1 - share)
    ratios[category] = math.log((1 - share) + share / baseline_rate)
    return ratios


def _quality_ratios(baseline: Baseline, share: float) -> list[float]:
    ratios: Counts = list(ZERO_COUNTS)
    for doubt in range(BINS):
        normal = baseline.bin_probabilities[doubt]
        mixed = (1 - share) * normal + share * baseline.distribution.bad[doubt]
        ratios[doubt] = math.log(mixed / normal)
        good = baseline.distribution.good_probability(baseline.quality, doubt)
        still_good = good * (1 - share) * normal / mixed
        before, after = _bad_rating_rate(good), _bad_rating_rate(still_good)
        ratios[RATED_BAD + doubt] = math.log(after / before)
        ratios[RATED_GOOD + doubt] = math.log((1 - after) / (1 - before))
    return ratios


def _bad_rating_rate(good: float) -> float:
    """Return the share of bad ratings, given the share of good answers."""
    return RATING_ERROR_RATE + (1 - 2 * RATING_ERROR_RATE) * (1 - good)
