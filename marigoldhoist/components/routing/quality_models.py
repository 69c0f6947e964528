"""Learnt quality as plans use it."""

import random
from collections.abc import Mapping, Sequence

from marigoldhoist.components.quality.estimator import ArmKey, QualityEstimator
from marigoldhoist.components.routing.plans import History


class SampledQualityModel:
    """Qualities drawn once from their posteriors, so that plans agree.

    A drawn quality tries an uncertain version now and then, and seldom one
    that is known to be worse.
    """

    def __init__(
        self, book: QualityEstimator, rng: random.Random, width: float
    ) -> None:
        self._book = book
        self._rng = rng
        self._width = width
        self._law = book.doubt_distribution
        self._quality_by_arm: dict[ArmKey, float] = {}
        self._chances_by_arm: dict[ArmKey, tuple[float, ...]] = {}

    def quality(self, task: str, version: str, history: History) -> float:
        """Return the chance that the version's next answer is good."""
        return self._quality(_arm_key(task, version, history))

    def bin_probabilities(
        self, task: str, version: str, history: History
    ) -> Sequence[float]:
        """Return the chances of the doubt bins of its next answer."""
        key = _arm_key(task, version, history)
        found = self._chances_by_arm.get(key)
        if found is None:
            found = self._law.bin_probabilities(self._quality(key))
            self._chances_by_arm[key] = found
        return found

    def good_probability(self, task: str, history: History) -> float:
        """Return the chance that the last answer is good."""
        version, doubt = history[-1]
        quality = self.quality(task, version, history[:-1])
        return self._law.good_probability(quality, doubt)

    def _quality(self, key: ArmKey) -> float:
        found = self._quality_by_arm.get(key)
        if found is None:
            found = self._book.drawn(key, self._rng, self._width)
            self._quality_by_arm[key] = found
        return found


class ExactQualityModel:
    """Knowledge from true chances: easy and hard requests are apart.

    Nobody knows which a request is; each doubt seen shifts the odds.
    """

    def __init__(
        self,
        easy_by_task: Mapping[str, float],
        good_by_version: Mapping[str, tuple[float, float]],
        law_good: Sequence[float],
        law_bad: Sequence[float],
    ) -> None:
        self._easy_by_task = easy_by_task
        self._good_by_version = good_by_version
        self._good = law_good
        self._bad = law_bad
        self._easy_by_history: dict[tuple[str, History], float] = {}

    def quality(self, task: str, version: str, history: History) -> float:
        """Return the chance that the version's next answer is good."""
        easy = self._easy(task, history)
        if_easy, if_hard = self._good_by_version[version]
        return easy * if_easy + (1 - easy) * if_hard

    def bin_probabilities(
        self, task: str, version: str, history: History
    ) -> Sequence[float]:
        """Return the chances of the doubt bins of its next answer."""
        quality = self.quality(task, version, history)
        return tuple(
            quality * good + (1 - quality) * bad
            for good, bad in zip(self._good, self._bad, strict=False)
        )

    def good_probability(self, task: str, history: History) -> float:
        """Return the chance that the last answer is good."""
        version, doubt = history[-1]
        quality = self.quality(task, version, history[:-1])
        good = quality * self._good[doubt]
        return good / (good + (1 - quality) * self._bad[doubt])

    def _easy(self, task: str, history: History) -> float:
        if not history:
            return self._easy_by_task[task]
        key = (task, history)
        found = self._easy_by_history.get(key)
        if found is None:
            found = self._shifted(task, history)
            self._easy_by_history[key] = found
        return found

    def _shifted(self, task: str, history: History) -> float:
        version, doubt = history[-1]
        before = self._easy(task, history[:-1])
        good, bad = self._good[doubt], self._bad[doubt]
        if_easy, if_hard = self._good_by_version[version]
        easy = before * (if_easy * good + (1 - if_easy) * bad)
        hard = (1 - before) * (if_hard * good + (1 - if_hard) * bad)
        return easy / (easy + hard)


def _arm_key(task: str, version: str, history: History) -> ArmKey:
    return ArmKey(task, version, history[-1][0] if history else '')
