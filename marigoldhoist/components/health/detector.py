"""Decide whether a version turned bad: cumulative sums over all daemons.

Each alternative has a cumulative sum of log likelihood ratios that never
falls below zero. The mean time to a false alarm of a sum with threshold h
is at least e to the power of h answers, whatever the batches.
"""

import dataclasses
import math
from collections.abc import Iterator

from marigoldhoist.components.health.alternatives import (
    ALTERNATIVES,
    Alternative,
    Fault,
    baseline,
    log_ratios,
)
from marigoldhoist.components.health.const import (
    CALM_SHARE,
    DOMAIN_SHARE,
    FALSE_ALARMS_PER_MONTH,
    LEAST_ANSWERS_PER_S,
    S_PER_MONTH,
    SAFETY,
)
from marigoldhoist.components.quality.cells import Observation
from marigoldhoist.components.quality.estimator import (
    Arm,
    ArmKey,
    QualityEstimator,
)

Ratios = list[list[float]]


@dataclasses.dataclass(frozen=True, slots=True)
class Alarm:
    """A version found bad."""

    version: str
    fault: Fault
    share: float
    evidence: float


class CumulativeSum:
    """One alternative's evidence, by failure domain since it last was 0."""

    def __init__(self) -> None:
        self.total: float = 0
        self._by_domain: dict[str, float] = {}

    def add(self, domain: str, evidence: float) -> None:
        """Add evidence; at zero or below the sum starts anew."""
        self.total += evidence
        if self.total <= 0:
            self.total = 0
            self._by_domain.clear()
            return
        self._by_domain[domain] = self._by_domain.get(domain, 0) + evidence

    def without_largest(self) -> float:
        """Return the evidence that the largest failure domain leaves."""
        return self.total - max(self._by_domain.values(), default=0)


class VersionTest:
    """All sums of one version."""

    def __init__(self) -> None:
        self.sums_by_alternative = {
            alternative: CumulativeSum() for alternative in ALTERNATIVES
        }

    @property
    def level(self) -> float:
        """Return the largest evidence of any alternative."""
        return max(one.total for one in self.sums_by_alternative.values())

    def add(self, domain: str, counts: tuple[int, ...], ratios: Ratios) -> None:
        """Add new answers."""
        seen = [(which, count) for which, count in enumerate(counts) if count]
        for one, ratio in zip(
            self.sums_by_alternative.values(), ratios, strict=False
        ):
            one.add(domain, sum(ratio[which] * count for which, count in seen))

    def found(self, threshold: float, domains: int) -> Alternative | None:
        """Return the alternative that is proved, if any."""
        for alternative, one in self.sums_by_alternative.items():
            if one.total < threshold:
                continue
            rest = one.without_largest()
            if domains < 2 or rest >= threshold * DOMAIN_SHARE:
                return alternative
        return None


class DegradationDetector:
    """Watches the versions of one model."""

    def __init__(
        self, book: QualityEstimator, versions: tuple[str, ...]
    ) -> None:
        self._book = book
        self._versions = versions
        self._tests = {version: VersionTest() for version in versions}
        self._ratios_by_arm: dict[ArmKey, Ratios] = {}
        self._threshold = threshold(LEAST_ANSWERS_PER_S)

    def calibrate(self, answers_per_s: float) -> None:
        """Set the threshold for the traffic, and take new baselines.

        A version under suspicion keeps the baseline it had.
        """
        self._threshold = threshold(answers_per_s)
        for key, arm in self._book.arms_by_key.items():
            test = self._tests.get(key.version)
            if test is None or not self._is_calm(test, key):
                continue
            self._ratios_by_arm[key] = self._new_ratios(arm)

    def observe(self, observation: Observation) -> None:
        """Take new answers and ratings of an arm."""
        cell = observation.key
        test = self._tests.get(cell.version)
        if test is None:
            return
        key = ArmKey(cell.task, cell.version, cell.after)
        ratios = self._ratios_by_arm.get(key)
        if ratios is None:
            ratios = self._new_ratios(self._book.arm(key))
            self._ratios_by_arm[key] = ratios
        test.add(cell.failure_domain, observation.counts, ratios)

    def alarms(self, domains_by_version: dict[str, int]) -> list[Alarm]:
        """Return the versions that are proved bad.

        Where most versions look bad at once the cause is a common one, and
        none is blamed.
        """
        proved = list(self._proved(domains_by_version))
        if len(proved) * 2 > len(self._versions):
            return []
        return proved

    def forget(self, version: str) -> None:
        """Begin the tests of a version anew."""
        self._tests[version] = VersionTest()

    def _new_ratios(self, arm: Arm) -> Ratios:
        healthy = baseline(arm, self._book.doubt_distribution)
        return [
            log_ratios(healthy, alternative) for alternative in ALTERNATIVES
        ]

    def _proved(self, domains_by_version: dict[str, int]) -> Iterator[Alarm]:
        for version, test in self._tests.items():
            domains = domains_by_version.get(version, 1)
            found = test.found(self._threshold, domains)
            if found is not None:
                yield Alarm(version, found.fault, found.share, test.level)

    def _is_calm(self, test: VersionTest, key: ArmKey) -> bool:
        if key not in self._ratios_by_arm:
            return True
        return test.level < self._threshold * CALM_SHARE


def threshold(answers_per_s: float) -> float:
    """Return the evidence that keeps false alarms under the stated rate."""
    answers = max(LEAST_ANSWERS_PER_S, answers_per_s) * S_PER_MONTH
    tests = len(ALTERNATIVES) * SAFETY
    return math.log(answers * tests / FALSE_ALARMS_PER_MONTH)
