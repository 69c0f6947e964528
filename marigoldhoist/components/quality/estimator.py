"""Learn quality from doubts and from late, few and noisy ratings.

All answers tell their doubt and few are rated. Expectation maximisation
finds the two beta laws of doubt and the quality of each arm together; a
rating counts as a label that is wrong with a known chance.
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
    CAUTION,
    FIT_ROUNDS,
    PRIOR_ANSWERS,
    PRIOR_BAD_LAW,
    PRIOR_CHEAPEST,
    PRIOR_DEAREST,
    PRIOR_GOOD_LAW,
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
    """A version for a task, first or after another's doubtful answer."""

    task: str
    version: str
    after: str = ''


@dataclasses.dataclass(slots=True)
class Arm:
    """What is known of one arm."""

    prior: float
    quality: float
    counts: Counts
    information: float = 0

    @property
    def deviation(self) -> float:
        """Return the standard deviation of the quality."""
        known = PRIOR_ANSWERS + self.information
        return math.sqrt(self.quality * (1 - self.quality) / known)


class QualityEstimator:
    """The quality of one model's versions, by task."""

    def __init__(self, versions: Iterable[str]) -> None:
        ordered = tuple(versions)
        self.arms_by_key: dict[ArmKey, Arm] = {}
        self._good = BetaFit(*PRIOR_GOOD_LAW)
        self._bad = BetaFit(*PRIOR_BAD_LAW)
        self.doubt_distribution = DoubtDistribution(
            self._good.bin_probabilities(), self._bad.bin_probabilities()
        )
        steps = max(1, len(ordered) - 1)
        rise = (PRIOR_DEAREST - PRIOR_CHEAPEST) / steps
        self._prior_by_version = {
            version: PRIOR_CHEAPEST + rise * rank
            for rank, version in enumerate(ordered)
        }

    def observe(self, observation: Observation) -> None:
        """Take new answers and ratings; `fit` then uses them."""
        key = observation.key
        if key.version in self._prior_by_version:
            arm = self.arm(ArmKey(key.task, key.version, key.after))
            add_counts(arm.counts, observation.counts)

    def arm(self, key: ArmKey) -> Arm:
        """Return an arm; a new one starts from the version's prior."""
        found = self.arms_by_key.get(key)
        if found is None:
            prior = self._prior_by_version[key.version]
            found = Arm(prior, prior, list(ZERO_COUNTS))
            self.arms_by_key[key] = found
        return found

    def adopt(self, other: 'QualityEstimator') -> None:
        """Take over what another book knows of the versions here."""
        self._good = other._good
        self._bad = other._bad
        self.doubt_distribution = other.doubt_distribution
        for key, arm in other.arms_by_key.items():
            if key.version in self._prior_by_version:
                self.arms_by_key[key] = arm

    def fit(self, rounds: int = FIT_ROUNDS) -> None:
        """Fit the laws of doubt and every arm's quality."""
        for _ in range(rounds):
            self._fit_once()

    def sample(self, key: ArmKey, rng: random.Random, width: float) -> float:
        """Draw a quality from an arm's posterior, on the cautious side.

        The best of many uncertain arms looks better than it is; caution
        by the deviation makes up for that.
        """
        arm = self.arm(key)
        cautious = arm.quality - CAUTION * width * arm.deviation
        drawn = rng.gauss(cautious, width * arm.deviation)
        return min(0.995, max(0.005, drawn))

    def _fit_once(self) -> None:
        good = self._good
        bad = self._bad
        for key, arm in self.arms_by_key.items():
            counts = arm.counts
            is_good = self._good_answers(arm)
            good.add(is_good)
            bad.add([counts[bin_] - is_good[bin_] for bin_ in range(BINS)])
            self._update(key, arm, sum(is_good))
        self._good = good.fitted()
        self._bad = bad.fitted()
        self.doubt_distribution = DoubtDistribution(
            self._good.bin_probabilities(), self._bad.bin_probabilities()
        )

    def _good_answers(self, arm: Arm) -> list[float]:
        """Return how many answers of each bin are expected to be good."""
        expected = []
        for doubt in range(BINS):
            chance = self.doubt_distribution.good_probability(
                arm.quality, doubt
            )
            praised = arm.counts[RATED_GOOD + doubt]
            blamed = arm.counts[RATED_BAD + doubt]
            unrated = max(0, arm.counts[doubt] - praised - blamed)
            expected.append(
                unrated * chance
                + praised * _rated(chance, 1 - RATING_ERROR_RATE)
                + blamed * _rated(chance, RATING_ERROR_RATE)
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


def _rated(chance: float, likelihood: float) -> float:
    good = chance * likelihood
    return good / (good + (1 - chance) * (1 - likelihood))
