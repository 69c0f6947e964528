"""Detect degraded versions with CUSUM tests over all daemons' answers.

Each alternative has a cumulative sum of log likelihood ratios that never
falls below zero. The mean time to a false alarm of a sum with threshold h
is at least e to the power of h answers, however they are batched.
"""

import dataclasses
import math
from collections.abc import Iterator

from marigoldhoist.components.health.alternatives import (
    ALTERNATIVES,
    Alternative,
    Fault,
    estimate_baseline,
    log_likelihood_ratios,
)
from marigoldhoist.components.health.const import (
    MAX_CALIBRATION_SHARE,
    MAX_FALSE_ALARMS_PER_MONTH,
    MIN_ANSWERS_PER_S,
    MIN_OTHER_DOMAINS_SHARE,
    SECONDS_PER_MONTH,
    THRESHOLD_SAFETY_FACTOR,
)
from marigoldhoist.components.quality.cells import Observation
from marigoldhoist.components.quality.estimator import (
    Arm,
    ArmKey,
    QualityEstimator,
)

# Log likelihood ratios by alternative, then by category.
LogRatios = list[list[float]]


@dataclasses.dataclass(frozen=True, slots=True)
class Alarm:
    """A version that was found bad.

    `share` is the share of bad answers of the accepted hypothesis, `evidence`
    the largest cumulative sum of the version.
    """

    version: str
    fault: Fault
    share: float
    evidence: float


class CumulativeSum:
    """Evidence for one alternative since it was last zero.

    The evidence is the sum of log likelihood ratios; it is kept by failure
    domain too.
    """

    def __init__(self) -> None:
        self.total: float = 0
        self._by_domain: dict[str, float] = {}

    def add(self, domain: str, evidence: float) -> None:
        """Add evidence; a sum at or below zero is reset to zero."""
        self.total += evidence
        if self.total <= 0:
            self.total = 0
            self._by_domain.clear()
            return
        self._by_domain[domain] = self._by_domain.get(domain, 0) + evidence

    def without_largest_domain(self) -> float:
        """Return the evidence without that of the largest failure domain."""
        return self.total - max(self._by_domain.values(), default=0)


class VersionTest:
    """Cumulative sums of one version for all alternatives."""

    def __init__(self) -> None:
        self.sum_by_alternative = {
            alternative: CumulativeSum() for alternative in ALTERNATIVES
        }

    @property
    def max_evidence(self) -> float:
        """Return the largest evidence of all alternatives."""
        return max(cusum.total for cusum in self.sum_by_alternative.values())

    def add(
        self, domain: str, counts: tuple[int, ...], ratios: LogRatios
    ) -> None:
        """Add counts by category from one failure domain."""
        nonzero = [
            (category, count) for category, count in enumerate(counts) if count
        ]
        for cusum, ratio in zip(
            self.sum_by_alternative.values(), ratios, strict=False
        ):
            cusum.add(
                domain,
                sum(ratio[category] * count for category, count in nonzero),
            )

    def proven_alternative(
        self, threshold: float, domains: int
    ) -> Alternative | None:
        """Return the first alternative that is proven, or None.

        `domains` is the number of failure domains with replicas.
        """
        for alternative, cusum in self.sum_by_alternative.items():
            if cusum.total < threshold:
                continue
            rest = cusum.without_largest_domain()
            if domains < 2 or rest >= threshold * MIN_OTHER_DOMAINS_SHARE:
                return alternative
        return None


class DegradationDetector:
    """Detects degraded versions of one model."""

    def __init__(
        self, estimator: QualityEstimator, versions: tuple[str, ...]
    ) -> None:
        self._estimator = estimator
        self._versions = versions
        self._tests = {version: VersionTest() for version in versions}
        self._ratios_by_arm: dict[ArmKey, LogRatios] = {}
        self._threshold = alarm_threshold(MIN_ANSWERS_PER_S)

    def calibrate(self, answers_per_s: float) -> None:
        """Update the threshold for the traffic, and the baselines.

        A version with much evidence against it keeps its baseline.
        """
        self._threshold = alarm_threshold(answers_per_s)
        for key, arm in self._estimator.arms_by_key.items():
            test = self._tests.get(key.version)
            if test is None or not self._can_recalibrate(test, key):
                continue
            self._ratios_by_arm[key] = self._compute_ratios(arm)

    def observe(self, observation: Observation) -> None:
        """Add new answers and ratings of an arm to the tests."""
        cell = observation.key
        test = self._tests.get(cell.version)
        if test is None:
            return
        key = ArmKey(cell.task, cell.version, cell.after)
        ratios = self._ratios_by_arm.get(key)
        if ratios is None:
            ratios = self._compute_ratios(self._estimator.arm(key))
            self._ratios_by_arm[key] = ratios
        test.add(cell.failure_domain, observation.counts, ratios)

    def alarms(self, domains_by_version: dict[str, int]) -> list[Alarm]:
        """Return an alarm for each version that is proven bad.

        If most versions look bad at the same time, the cause is assumed to be
        a common one, and there is no alarm.
        """
        proven = list(self._proven_alarms(domains_by_version))
        if len(proven) * 2 > len(self._versions):
            return []
        return proven

    def reset(self, version: str) -> None:
        """Discard the evidence about a version."""
        self._tests[version] = VersionTest()

    def _compute_ratios(self, arm: Arm) -> LogRatios:
        baseline = estimate_baseline(arm, self._estimator.doubt_distribution)
        return [
            log_likelihood_ratios(baseline, alternative)
            for alternative in ALTERNATIVES
        ]

    def _proven_alarms(
        self, domains_by_version: dict[str, int]
    ) -> Iterator[Alarm]:
        for version, test in self._tests.items():
            domains = domains_by_version.get(version, 1)
            alternative = test.proven_alternative(self._threshold, domains)
            if alternative is not None:
                yield Alarm(
                    version,
                    alternative.fault,
                    alternative.share,
                    test.max_evidence,
                )

    def _can_recalibrate(self, test: VersionTest, key: ArmKey) -> bool:
        if key not in self._ratios_by_arm:
            return True
        return test.max_evidence < self._threshold * MAX_CALIBRATION_SHARE


def alarm_threshold(answers_per_s: float) -> float:
    """Return the evidence that bounds false alarms to the allowed rate."""
    answers = max(MIN_ANSWERS_PER_S, answers_per_s) * SECONDS_PER_MONTH
    tests = len(ALTERNATIVES) * THRESHOLD_SAFETY_FACTOR
    return math.log(answers * tests / MAX_FALSE_ALARMS_PER_MONTH)
