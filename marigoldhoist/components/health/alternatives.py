"""Ways in which a version turns bad, as likelihood ratios of categories."""

import dataclasses
import enum
import math

from marigoldhoist.components.health.const import (
    BASELINE_ANSWERS,
    BASELINE_FAILED,
    BASELINE_SLOW,
    CAUTION,
    KNOWN_ANSWERS,
    UNKNOWN_FAILED,
    UNKNOWN_QUALITY,
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
    """What goes wrong with an answer."""

    WRONG = 'wrong'
    FAILING = 'failing'
    SLOW = 'slow'


@dataclasses.dataclass(frozen=True, slots=True)
class Alternative:
    """A share of a version's answers that turned bad in one way."""

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
    """How a version's answers were while it was well."""

    chances: tuple[float, ...]
    quality: float
    failed: float
    slow: float
    law: DoubtDistribution


def baseline(arm: Arm, law: DoubtDistribution) -> Baseline:
    """Return an arm's baseline, a cautious one while its answers are few."""
    doubts = arm.counts[:BINS]
    quality = arm.quality - CAUTION * arm.deviation
    if sum(doubts) < KNOWN_ANSWERS:
        doubts = list(ZERO_COUNTS[:BINS])
        quality = min(quality, UNKNOWN_QUALITY)
    weight = sum(doubts) + BASELINE_ANSWERS
    chances = tuple(
        (count + BASELINE_ANSWERS * chance) / weight
        for count, chance in zip(
            doubts, law.bin_probabilities(quality), strict=True
        )
    )
    return Baseline(
        chances=chances,
        quality=quality,
        failed=_usual(arm, FAILED, BASELINE_FAILED),
        slow=_usual(arm, SLOW, BASELINE_SLOW),
        law=law,
    )


def _usual(arm: Arm, category: int, least: float) -> float:
    """Return the usual share of failed or slow answers."""
    ended = arm.counts[SUCCEEDED] + arm.counts[FAILED] + BASELINE_ANSWERS
    if ended < KNOWN_ANSWERS:
        return UNKNOWN_FAILED
    return max(least, arm.counts[category] / ended)


def log_ratios(healthy: Baseline, alternative: Alternative) -> list[float]:
    """Return the log likelihood ratio that each category adds."""
    match alternative.fault:
        case Fault.WRONG:
            return _wrong_ratios(healthy, alternative.share)
        case Fault.FAILING:
            return _event_ratios(healthy.failed, FAILED, alternative.share)
        case Fault.SLOW:
            ratios = _event_ratios(healthy.slow, SLOW, alternative.share)
            # A slow answer is counted as plain as well.
            ratios[SLOW] -= math.log(1 - alternative.share)
            return ratios


def _event_ratios(usual: float, category: int, share: float) -> list[float]:
    ratios: Counts = list(ZERO_COUNTS)
    ratios[SUCCEEDED] = math.log(1 - share)
    ratios[category] = math.log((1 - share) + share / usual)
    return ratios


def _wrong_ratios(healthy: Baseline, share: float) -> list[float]:
    ratios: Counts = list(ZERO_COUNTS)
    for doubt in range(BINS):
        usual = healthy.chances[doubt]
        turned = (1 - share) * usual + share * healthy.law.bad[doubt]
        ratios[doubt] = math.log(turned / usual)
        good = healthy.law.good_probability(healthy.quality, doubt)
        still_good = good * (1 - share) * usual / turned
        before, after = _blamed(good), _blamed(still_good)
        ratios[RATED_BAD + doubt] = math.log(after / before)
        ratios[RATED_GOOD + doubt] = math.log((1 - after) / (1 - before))
    return ratios


def _blamed(good: float) -> float:
    return RATING_ERROR_RATE + (1 - 2 * RATING_ERROR_RATE) * (1 - good)
