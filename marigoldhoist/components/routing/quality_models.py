"""Quality models for planning: sampled from estimates, or exact."""

import random
from collections.abc import Mapping, Sequence

from marigoldhoist.components.quality.estimator import ArmKey, QualityEstimator
from marigoldhoist.components.routing.plans import History


class SampledQualityModel:
    """Qualities sampled from their posteriors (Thompson sampling).

    Each quality is sampled once per model, so that all plans made from one
    model are consistent. Sampling explores uncertain versions now and then,
    and rarely a version that is known to be worse.
    """

    def __init__(
        self, estimator: QualityEstimator, rng: random.Random, width: float
    ) -> None:
        self._estimator = estimator
        self._rng = rng
        self._width = width
        self._doubt_distribution = estimator.doubt_distribution
        self._quality_by_arm: dict[ArmKey, float] = {}
        self._bin_probabilities_by_arm: dict[ArmKey, tuple[float, ...]] = {}

    def quality(self, task: str, version: str, history: History) -> float:
        """Return the probability that the version's next answer is good."""
        return self._quality(_arm_key(task, version, history))

    def bin_probabilities(
        self, task: str, version: str, history: History
    ) -> Sequence[float]:
        """Return the probability of each doubt bin for its next answer."""
        key = _arm_key(task, version, history)
        probabilities = self._bin_probabilities_by_arm.get(key)
        if probabilities is None:
            probabilities = self._doubt_distribution.bin_probabilities(
                self._quality(key)
            )
            self._bin_probabilities_by_arm[key] = probabilities
        return probabilities

    def good_probability(self, task: str, history: History) -> float:
        """Return the probability that the history's last answer is good."""
        version, doubt = history[-1]
        quality = self.quality(task, version, history[:-1])
        return self._doubt_distribution.good_probability(quality, doubt)

    def _quality(self, key: ArmKey) -> float:
        quality = self._quality_by_arm.get(key)
        if quality is None:
            quality = self._estimator.sample(key, self._rng, self._width)
            self._quality_by_arm[key] = quality
        return quality


class ExactQualityModel:
    """A quality model from the true probabilities of a workload.

    Each request is either easy or hard, which is not observable. Every doubt
    bin in the history updates the probability that the request is easy.
    """

    def __init__(
        self,
        easy_probability_by_task: Mapping[str, float],
        good_by_version: Mapping[str, tuple[float, float]],
        good_bin_probabilities: Sequence[float],
        bad_bin_probabilities: Sequence[float],
    ) -> None:
        self._easy_probability_by_task = easy_probability_by_task
        self._good_by_version = good_by_version
        self._good_by_bin = good_bin_probabilities
        self._bad_by_bin = bad_bin_probabilities
        self._easy_probability_by_history: dict[tuple[str, History], float] = {}

    def quality(self, task: str, version: str, history: History) -> float:
        """Return the probability that the version's next answer is good."""
        easy = self._easy_probability(task, history)
        if_easy, if_hard = self._good_by_version[version]
        return easy * if_easy + (1 - easy) * if_hard

    def bin_probabilities(
        self, task: str, version: str, history: History
    ) -> Sequence[float]:
        """Return the probability of each doubt bin for its next answer."""
        quality = self.quality(task, version, history)
        return tuple(
            quality * good + (1 - quality) * bad
            for good, bad in zip(
                self._good_by_bin, self._bad_by_bin, strict=False
            )
        )

    def good_probability(self, task: str, history: History) -> float:
        """Return the probability that the history's last answer is good."""
        version, doubt = history[-1]
        quality = self.quality(task, version, history[:-1])
        good = quality * self._good_by_bin[doubt]
        return good / (good + (1 - quality) * self._bad_by_bin[doubt])

    def _easy_probability(self, task: str, history: History) -> float:
        if not history:
            return self._easy_probability_by_task[task]
        key = (task, history)
        easy = self._easy_probability_by_history.get(key)
        if easy is None:
            easy = self._updated_easy_probability(task, history)
            self._easy_probability_by_history[key] = easy
        return easy

    def _updated_easy_probability(self, task: str, history: History) -> float:
        version, doubt = history[-1]
        before = self._easy_probability(task, history[:-1])
        good, bad = self._good_by_bin[doubt], self._bad_by_bin[doubt]
        if_easy, if_hard = self._good_by_version[version]
        easy = before * (if_easy * good + (1 - if_easy) * bad)
        hard = (1 - before) * (if_hard * good + (1 - if_hard) * bad)
        return easy / (easy + hard)


def _arm_key(task: str, version: str, history: History) -> ArmKey:
    return ArmKey(task, version, history[-1][0] if history else '')
