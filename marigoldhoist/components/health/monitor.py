"""Monitor each model's versions with the observations of all daemons."""

import time
from collections.abc import Iterable, Iterator

from marigoldhoist.components.health.const import CALIBRATION_INTERVAL_S
from marigoldhoist.components.health.detector import Alarm, DegradationDetector
from marigoldhoist.components.quality.cells import Observation
from marigoldhoist.components.quality.const import SUCCEEDED
from marigoldhoist.components.quality.estimator import QualityEstimator


class ModelMonitor:
    """Quality estimator and degradation detector of one model."""

    def __init__(self, versions: tuple[str, ...]) -> None:
        self.versions = versions
        self._estimator = QualityEstimator(versions)
        self._detector = DegradationDetector(self._estimator, versions)
        self._answers: float = 0
        self._started_s = time.monotonic()
        self._calibrated_s = self._started_s

    def observe(self, observations: Iterable[Observation]) -> None:
        """Record new answers and ratings; recalibrate if it is due."""
        for observation in observations:
            self._estimator.observe(observation)
            self._detector.observe(observation)
            self._answers += observation.counts[SUCCEEDED]
        now_s = time.monotonic()
        if now_s - self._calibrated_s >= CALIBRATION_INTERVAL_S:
            self._calibrated_s = now_s
            self._estimator.fit()
            self._detector.calibrate(self._answers / (now_s - self._started_s))

    def alarms(self, domains_by_version: dict[str, int]) -> list[Alarm]:
        """Return an alarm for each version that is proven bad."""
        return self._detector.alarms(domains_by_version)

    def reset(self, version: str) -> None:
        """Discard the evidence about a version."""
        self._detector.reset(version)


class ModelMonitors:
    """The monitors of all models."""

    def __init__(self) -> None:
        self._monitor_by_model: dict[str, ModelMonitor] = {}

    def observe(
        self,
        observations: Iterable[Observation],
        versions_by_model: dict[str, tuple[str, ...]],
    ) -> Iterator[tuple[str, ModelMonitor]]:
        """Pass observations to their models' monitors; yield those models.

        A model whose versions changed gets a new monitor.
        """
        observed_by_model: dict[str, list[Observation]] = {}
        for observation in observations:
            model = observation.key.model
            observed_by_model.setdefault(model, []).append(observation)
        for model, observed in observed_by_model.items():
            versions = versions_by_model.get(model)
            if versions:
                monitor = self._monitor_of(model, versions)
                monitor.observe(observed)
                yield model, monitor

    def _monitor_of(
        self, model: str, versions: tuple[str, ...]
    ) -> ModelMonitor:
        monitor = self._monitor_by_model.get(model)
        if monitor is None or monitor.versions != versions:
            monitor = ModelMonitor(versions)
            self._monitor_by_model[model] = monitor
        return monitor
