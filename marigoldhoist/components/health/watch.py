"""One judge for each model, with evidence of all daemons."""

import time
from collections.abc import Iterable, Iterator

from marigoldhoist.components.health.const import CALIBRATE_EVERY_S
from marigoldhoist.components.health.detector import Alarm, DegradationDetector
from marigoldhoist.components.quality.cells import Observation
from marigoldhoist.components.quality.const import SUCCEEDED
from marigoldhoist.components.quality.estimator import QualityEstimator


class ModelWatch:
    """The book and the judge of one model's versions."""

    def __init__(self, versions: tuple[str, ...]) -> None:
        self.versions = versions
        self._book = QualityEstimator(versions)
        self._judge = DegradationDetector(self._book, versions)
        self._answers: float = 0
        self._started_s = time.monotonic()
        self._calibrated_s = self._started_s

    def observe(self, observations: Iterable[Observation]) -> None:
        """Take new answers and ratings."""
        for observation in observations:
            self._book.observe(observation)
            self._judge.observe(observation)
            self._answers += observation.counts[SUCCEEDED]
        now_s = time.monotonic()
        if now_s - self._calibrated_s >= CALIBRATE_EVERY_S:
            self._calibrated_s = now_s
            self._book.fit()
            self._judge.calibrate(self._answers / (now_s - self._started_s))

    def alarms(self, domains_by_version: dict[str, int]) -> list[Alarm]:
        """Return the versions that are proved bad."""
        return self._judge.alarms(domains_by_version)

    def forget(self, version: str) -> None:
        """Begin the tests of a version anew."""
        self._judge.forget(version)


class Watches:
    """Watches by model."""

    def __init__(self) -> None:
        self._watch_by_model: dict[str, ModelWatch] = {}

    def observe(
        self,
        observations: Iterable[Observation],
        versions_by_model: dict[str, tuple[str, ...]],
    ) -> Iterator[tuple[str, ModelWatch]]:
        """Hand observations to their models; yield the models concerned."""
        observed_by_model: dict[str, list[Observation]] = {}
        for observation in observations:
            model = observation.key.model
            observed_by_model.setdefault(model, []).append(observation)
        for model, observed in observed_by_model.items():
            versions = versions_by_model.get(model)
            if versions:
                watch = self._watch(model, versions)
                watch.observe(observed)
                yield model, watch

    def _watch(self, model: str, versions: tuple[str, ...]) -> ModelWatch:
        watch = self._watch_by_model.get(model)
        if watch is None or watch.versions != versions:
            watch = ModelWatch(versions)
            self._watch_by_model[model] = watch
        return watch
