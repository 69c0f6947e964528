"""Estimate quality from doubt scores and from late, few and noisy ratings.

Every answer has a doubt score and few are rated. Expectation maximization fits
the two beta distributions of the doubt score, of good and of bad answers, and
the quality of each arm together. A rating is a label with a known error rate.
"""

import dataclasses
import math
import random
from collections.abc import Iterable

from marigoldhoist.components.quality.cells import (
    ZERO_COUNTS,
    Counts,
    Observation,
    add_counts,
)
from marigoldhoist.components.quality.const import (
    BINS,
    CAUTION_DEVIATIONS,
    FIT_ROUNDS,
    PRIOR_ANSWERS,
    PRIOR_BAD_DOUBT,
    PRIOR_CHEAPEST_QUALITY,
    PRIOR_COSTLIEST_QUALITY,
    PRIOR_GOOD_DOUBT,
    RATED_BAD,
    RATED_GOOD,
    RATING_ERROR_RATE,
)
from marigoldhoist.components.quality.distribution import (
    BetaFit,
    DoubtDistribution,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ArmKey:
    """Identifies an arm: a version that answers a task.

    `after` is the version whose doubtful answer was escalated to this one,
    empty for a first answer.
    """

    task: str
    version: str
    after: str = ''


@dataclasses.dataclass(slots=True)
class Arm:
    """The estimate for one arm.

    The quality is the probability that an answer is good. The information is
    the weight of the arm's observations, as a number of answers.
    """

    prior: float
    quality: float
    counts: Counts
    information: float = 0

    @property
    def deviation(self) -> float:
        """Return the posterior standard deviation of the quality."""
        weight = PRIOR_ANSWERS + self.information
        return math.sqrt(self.quality * (1 - self.quality) / weight)


class QualityEstimator:
    """Estimates the quality of one model's versions by task."""

    def __init__(self, versions: Iterable[str]) -> None:
        ordered = tuple(versions)
        self.arms_by_key: dict[ArmKey, Arm] = {}
        self._good = BetaFit(*PRIOR_GOOD_DOUBT)
        self._bad = BetaFit(*PRIOR_BAD_DOUBT)
        self.doubt_distribution = DoubtDistribution(
            self._good.bin_probabilities(), self._bad.bin_probabilities()
        )
        steps = max(1, len(ordered) - 1)
        step = (PRIOR_COSTLIEST_QUALITY - PRIOR_CHEAPEST_QUALITY) / steps
        self._prior_by_version = {
            version: PRIOR_CHEAPEST_QUALITY + step * rank
            for rank, version in enumerate(ordered)
        }

    def observe(self, observation: Observation) -> None:
        """Add new answers and ratings for the next `fit`."""
        key = observation.key
        if key.version in self._prior_by_version:
            arm = self.arm(ArmKey(key.task, key.version, key.after))
            add_counts(arm.counts, observation.counts)

    def arm(self, key: ArmKey) -> Arm:
        """Return an arm, a new one with the version's prior quality."""
        arm = self.arms_by_key.get(key)
        if arm is None:
            prior = self._prior_by_version[key.version]
            arm = Arm(prior, prior, list(ZERO_COUNTS))
            self.arms_by_key[key] = arm
        return arm

    def adopt(self, other: 'QualityEstimator') -> None:
        """Take over another estimator's estimates of the own versions."""
        self._good = other._good
        self._bad = other._bad
        self.doubt_distribution = other.doubt_distribution
        for key, arm in other.arms_by_key.items():
            if key.version in self._prior_by_version:
                self.arms_by_key[key] = arm

    def fit(self, rounds: int = FIT_ROUNDS) -> None:
        """Fit the doubt distributions and the quality of every arm."""
        for _ in range(rounds):
            self._fit_once()

    def sample(self, key: ArmKey, rng: random.Random, width: float) -> float:
        """Sample a quality from an arm's posterior, biased downwards.

        The best of many uncertain arms looks better than it is (winner's
        curse). Lowering the mean by some deviations compensates for that. The
        width scales the deviation: 0 returns the estimate without any noise.
        The result is clamped to 0.005..0.995.
        """
        arm = self.arm(key)
        cautious = arm.quality - CAUTION_DEVIATIONS * width * arm.deviation
        sampled = rng.gauss(cautious, width * arm.deviation)
        return min(0.995, max(0.005, sampled))

    def _fit_once(self) -> None:
        good = self._good
        bad = self._bad
        for key, arm in self.arms_by_key.items():
            counts = arm.counts
            good_by_bin = self._good_answers(arm)
            good.add(good_by_bin)
            bad.add([counts[bin_] - good_by_bin[bin_] for bin_ in range(BINS)])
            self._update(key, arm, sum(good_by_bin))
        self._good = good.fitted()
        self._bad = bad.fitted()
        self.doubt_distribution = DoubtDistribution(
            self._good.bin_probabilities(), self._bad.bin_probabilities()
        )

    def _good_answers(self, arm: Arm) -> list[float]:
        """Return the expected number of good answers in each bin."""
        expected = []
        for doubt in range(BINS):
            probability = self.doubt_distribution.good_probability(
                arm.quality, doubt
            )
            rated_good = arm.counts[RATED_GOOD + doubt]
            rated_bad = arm.counts[RATED_BAD + doubt]
            unrated = max(0, arm.counts[doubt] - rated_good - rated_bad)
            expected.append(
                unrated * probability
                + rated_good
                * _rated_good_probability(probability, 1 - RATING_ERROR_RATE)
                + rated_bad
                * _rated_good_probability(probability, RATING_ERROR_RATE)
            )
        return expected

    def _update(self, key: ArmKey, arm: Arm, good: float) -> None:
        answers = sum(arm.counts[:BINS])
        prior = self._prior(key, arm)
        arm.quality = (good + PRIOR_ANSWERS * prior) / (answers + PRIOR_ANSWERS)
        arm.information = answers / 3

    def _prior(self, key: ArmKey, arm: Arm) -> float:
        if not key.after:
            return arm.prior
        first = self.arms_by_key.get(ArmKey(key.task, key.version))
        return first.quality if first else arm.prior


def _rated_good_probability(probability: float, likelihood: float) -> float:
    good = probability * likelihood
    return good / (good + (1 - probability) * (1 - likelihood))
