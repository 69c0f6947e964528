"""Evidence about a new version, as shared by the daemons.

A single daemon sees only few answers of the new version, so the counts of
several daemons are pooled before the rules are applied.
"""

import enum
import math
from collections.abc import Iterable, Mapping
from typing import Final, TypeAlias

import msgspec

from marigoldhoist.components.canary.strata import (
    MAX_STRATA,
    Stratum,
    StratumSeries,
    pooled,
)

# Pseudo-count added to the baseline's failures, so that a baseline without any
# failure does not give a rate of zero.
PRIOR_FAILURES: Final = 0.5
# Minimum time between the oldest and the newest slow answer. A sudden rise in
# load slows a few answers down at the same moment, first for a version with
# few replicas, whereas a slow version stays slow.
MIN_SLOW_SPAN_S: Final = 1.5
# A version is slow only if its share of slow answers is above this multiple of
# the baseline's own share.
SLOW_SHARE_FACTOR: Final = 3.0
# Pseudo-counts of the baseline: with few answers, its share of slow answers is
# assumed to be near one in ten.
PRIOR_SLOW_ANSWERS: Final = 1
PRIOR_ANSWERS: Final = 10


class Measure(enum.Enum):
    """The latency of an answer that is compared.

    START is the time to the start of the answer, PACE the time between events
    of a stream.
    """

    START = 'start'
    PACE = 'pace'


# Minimum share of slow answers of a slow version.
MIN_SLOW_SHARE_BY_MEASURE: Final[Mapping[Measure, float]] = {
    Measure.START: 0.25,
    Measure.PACE: 0.35,
}


class SampleGroup(msgspec.Struct, frozen=True, array_like=True):
    """Answers that are comparable: one request class and one latency."""

    request_class: str
    measure: Measure


class RecentCounts(msgspec.Struct, frozen=True, array_like=True):
    """Recent answers and failures of a version and of its baseline.

    `compared` is the number of recent answers whose latency was compared;
    `slow` of these took much longer, the oldest `oldest_slow_age_s` ago.
    """

    answers: int
    failures: int
    baseline_answers: int
    compared: int = 0
    slow: int = 0
    oldest_slow_age_s: float = 0
    baseline_failures: int = 0

    def plus(self, other: 'RecentCounts') -> 'RecentCounts':
        """Return the sums of the counts of two daemons."""
        return RecentCounts(
            self.answers + other.answers,
            self.failures + other.failures,
            self.baseline_answers + other.baseline_answers,
            self.compared + other.compared,
            self.slow + other.slow,
            max(self.oldest_slow_age_s, other.oldest_slow_age_s),
            self.baseline_failures + other.baseline_failures,
        )


class GroupCounts(msgspec.Struct, array_like=True):
    """Answer counts of one sample group: new version and baseline.

    The baseline is all other versions of the service. `compared` is the number
    of the new version's answers whose latency was compared with the baseline's
    median; `slow` of these took much longer. The counts of the baseline's own
    answers are analogous. `oldest_slow_age_s` and `newest_slow_age_s` are the
    ages of the new version's oldest and newest slow answer. `recent` are
    the counts of the time in which answers can clear the new version. `series`
    are the answers of both sides by time, one of each daemon.
    """

    group: SampleGroup
    answers: int
    failures: int
    compared: int
    slow: int
    baseline_answers: int
    baseline_failures: int
    baseline_compared: int
    baseline_slow: int
    oldest_slow_age_s: float
    newest_slow_age_s: float
    recent: RecentCounts
    series: list[StratumSeries] = []

    def add(self, other: 'GroupCounts') -> None:
        """Add another daemon's counts of the same group."""
        self.answers += other.answers
        self.failures += other.failures
        self.compared += other.compared
        self.slow += other.slow
        self.baseline_answers += other.baseline_answers
        self.baseline_failures += other.baseline_failures
        self.baseline_compared += other.baseline_compared
        self.baseline_slow += other.baseline_slow
        self.recent = self.recent.plus(other.recent)
        self.series.extend(other.series)
        self.oldest_slow_age_s = max(
            self.oldest_slow_age_s, other.oldest_slow_age_s
        )
        self.newest_slow_age_s = min(
            self.newest_slow_age_s, other.newest_slow_age_s
        )

    def older(self, age_s: float) -> 'GroupCounts':
        """Return the counts with the series as they are that much later."""
        return msgspec.structs.replace(
            self, series=[series.older(age_s) for series in self.all_series]
        )

    def with_pooled_series(self) -> 'GroupCounts':
        """Return the counts with the sum of all series."""
        summed = StratumSeries(0, list(pooled(self.series)))
        return msgspec.structs.replace(self, series=[summed])

    @property
    def all_series(self) -> list[StratumSeries]:
        """Return the answers by time.

        Without series, as from an earlier release, the recent answers form one
        with the whole baseline.
        """
        if self.series:
            return self.series
        recent = Stratum(
            0,
            self.recent.answers,
            self.recent.failures,
            self.baseline_answers,
            self.baseline_failures,
        )
        earlier = Stratum(
            MAX_STRATA,
            self.answers - recent.answers,
            self.failures - recent.failures,
            self.baseline_answers,
            self.baseline_failures,
        )
        return [StratumSeries(0, [recent, earlier])]

    @property
    def is_slow_persistently(self) -> bool:
        """Return whether the slow answers are spread over time."""
        span_s = self.oldest_slow_age_s - self.newest_slow_age_s
        return span_s >= MIN_SLOW_SPAN_S

    def with_recent_latencies(self) -> 'GroupCounts':
        """Return the counts with the recent comparisons alone."""
        return msgspec.structs.replace(
            self,
            compared=self.recent.compared,
            slow=self.recent.slow,
            oldest_slow_age_s=self.recent.oldest_slow_age_s,
        )

    @property
    def slow_share_limit(self) -> float:
        """Return the share of slow answers above which a version is slow."""
        baseline_share = (PRIOR_SLOW_ANSWERS + self.baseline_slow) / (
            PRIOR_ANSWERS + self.baseline_compared
        )
        min_share = MIN_SLOW_SHARE_BY_MEASURE[self.group.measure]
        return max(min_share, SLOW_SHARE_FACTOR * baseline_share)


Evidence: TypeAlias = list[GroupCounts]


class BaselineSamples(msgspec.Struct, frozen=True, array_like=True):
    """The newest latencies of the baseline in one sample group.

    `ages_s` are the ages of the `relative_times`, which are in seconds.
    """

    group: SampleGroup
    ages_s: list[float]
    relative_times: list[float]


class DaemonEvidence(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's evidence, as shared with the other daemons.

    `known_for_s` is the age of the roll-out's order as estimated by that
    daemon. `active_positions` are the hash positions of sessions that would be
    canary sessions but are active on another version. `cleared_for_s` is the
    time since the daemon cleared the version for the ramp, negative infinity if
    it did not. `is_rejected` is whether the daemon knows the version as bad.
    `confirmed_for_s` is the time since it confirmed the version, negative
    infinity if it did not. `baseline_samples` are latencies to compare with.
    """

    known_for_s: float
    evidence: Evidence
    active_positions: list[float] = []
    cleared_for_s: float = -math.inf
    is_rejected: bool = False
    confirmed_for_s: float = -math.inf
    baseline_samples: list[BaselineSamples] = []

    def older(self, age_s: float) -> 'DaemonEvidence':
        """Return the evidence as it is that much later."""
        evidence = [counts.older(age_s) for counts in self.evidence]
        return msgspec.structs.replace(self, evidence=evidence)

    def without_recent(self) -> 'DaemonEvidence':
        """Return the evidence with no answers that count as recent."""
        evidence = [
            msgspec.structs.replace(counts, recent=RecentCounts(0, 0, 0))
            for counts in self.evidence
        ]
        return msgspec.structs.replace(self, evidence=evidence)


def pool_evidence(evidences: Iterable[Evidence]) -> Evidence:
    """Return the summed counts of several daemons, by sample group."""
    pooled_by_group: dict[SampleGroup, GroupCounts] = {}
    for evidence in evidences:
        for counts in evidence:
            known = pooled_by_group.get(counts.group)
            if known is None:
                pooled_by_group[counts.group] = msgspec.structs.replace(
                    counts, series=list(counts.series)
                )
            else:
                known.add(counts)
    return list(pooled_by_group.values())
