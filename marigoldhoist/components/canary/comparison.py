"""Compare the failures and latencies of a new version with the others.

A new version may fail or be slow from the beginning, later on, or on a single
route only. Each request class (route and model) is therefore compared
separately, with answers of the other versions from the same period. A version
that starts an answer in time may still stream it slowly, so the pace of streams
is compared as well.
"""

import collections
import dataclasses
import itertools
import math
import statistics
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Final

from marigoldhoist.components.canary.const import MIN_RECENT_S
from marigoldhoist.components.canary.evidence import (
    BaselineSamples,
    Evidence,
    GroupCounts,
    Measure,
    RecentCounts,
    SampleGroup,
)
from marigoldhoist.components.canary.strata import (
    FailureHistory,
    StratumSeries,
    span_age_s,
    span_number,
)

# Number of newest answers kept for each version and sample group.
MAX_REMEMBERED_ANSWERS: Final = 60
# An answer is compared with the median of the baseline's newest answers at all
# daemons: at most MAX_BASELINE_SAMPLES, none older than MAX_BASELINE_AGE_S, so
# that both sides had the same load. With fewer than MIN_BASELINE_SAMPLES there
# is no comparison. A daemon shares MAX_SHARED_SAMPLES of each group.
MAX_BASELINE_SAMPLES: Final = 12
MIN_BASELINE_SAMPLES: Final = 4
MAX_BASELINE_AGE_S: Final = 10.0
MAX_SHARED_SAMPLES: Final = 4
# An answer is slow if it took more than this multiple of the baseline's median
# in the same sample group. The time to the start of an answer varies more than
# the pace.
SLOW_FACTOR_BY_MEASURE: Final[Mapping[Measure, float]] = {
    Measure.START: 4.0,
    Measure.PACE: 1.75,
}


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerSample:
    """Outcome and latency of one answer.

    `relative_time` is the latency in seconds divided by a factor for the size
    of the request or the load of the replica. Only answers with the same
    `request_class` and `measure` are compared.
    """

    is_failure: bool
    relative_time: float
    request_class: str
    measure: Measure = Measure.START

    @property
    def group(self) -> SampleGroup:
        """Return the sample group that the answer belongs to."""
        return SampleGroup(self.request_class, self.measure)


@dataclasses.dataclass(frozen=True, slots=True)
class TimeSample:
    """Relative latency of an answer, and when it was recorded."""

    recorded_s: float
    relative_time: float


class _SampleHistory:
    """The newest answers of one version in one sample group."""

    def __init__(self) -> None:
        self.by_time = FailureHistory()
        self.failures: collections.deque[bool] = collections.deque(
            maxlen=MAX_REMEMBERED_ANSWERS
        )
        self.recorded_s: collections.deque[float] = collections.deque(
            maxlen=MAX_REMEMBERED_ANSWERS
        )
        self.slow: collections.deque[bool] = collections.deque(
            maxlen=MAX_REMEMBERED_ANSWERS
        )
        self.compared_at_s: collections.deque[float] = collections.deque(
            maxlen=MAX_REMEMBERED_ANSWERS
        )
        self.slow_at_s: collections.deque[float] = collections.deque(
            maxlen=MAX_REMEMBERED_ANSWERS
        )
        self.times: collections.deque[TimeSample] = collections.deque(
            maxlen=MAX_BASELINE_SAMPLES
        )

    def record_answer(self, is_failure: bool, now_s: float) -> None:
        """Record whether an answer was a failure."""
        self.failures.append(is_failure)
        self.recorded_s.append(now_s)
        self.by_time.record(is_failure, now_s)

    def recent_failures(self, since_s: float) -> list[bool]:
        """Return whether each answer since a boot time was a failure."""
        return list(_recent(self.failures, self.recorded_s, since_s))

    def recent_slow(self, since_s: float) -> list[bool]:
        """Return whether each answer compared since a boot time was slow."""
        return list(_recent(self.slow, self.compared_at_s, since_s))

    def record_comparison(self, is_slow: bool, now_s: float) -> None:
        """Record whether an answer was slow in a comparison."""
        self.slow.append(is_slow)
        self.compared_at_s.append(now_s)
        if is_slow:
            self.slow_at_s.append(now_s)


def _recent(
    flags: Iterable[bool], times_s: Iterable[float], since_s: float
) -> Iterator[bool]:
    for flag, time_s in zip(flags, times_s, strict=True):
        if time_s >= since_s:
            yield flag


NO_ANSWERS: Final = _SampleHistory()


class VersionComparison:
    """Compares the target version of a service with all other versions.

    Answers are recorded between roll-outs too, so that there is a baseline
    from the new version's first answer on.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._history_by_version: dict[
            str, dict[SampleGroup, _SampleHistory]
        ] = collections.defaultdict(
            lambda: collections.defaultdict(_SampleHistory)
        )
        self._recent_s = MIN_RECENT_S
        self._first_span = 0
        self.target = ''
        # Baseline samples of other daemons.
        self.peer_samples_by_group: Mapping[SampleGroup, list[TimeSample]] = {}

    def begin(self, target: str, recent_s: float = MIN_RECENT_S) -> None:
        """Make a version the target and discard its earlier answers.

        Its answers of the last `recent_s` seconds are recent.
        """
        self._recent_s = recent_s
        self._history_by_version.pop(target, None)
        self.peer_samples_by_group = {}
        self._first_span = span_number(self._clock())
        self.target = target

    def record(self, version: str, answer: AnswerSample) -> None:
        """Record one answer of a version."""
        history = self._history_by_version[version][answer.group]
        history.record_answer(answer.is_failure, self._clock())
        if answer.is_failure:
            return
        median = self._baseline_median(answer.group)
        if median is not None:
            factor = SLOW_FACTOR_BY_MEASURE[answer.measure]
            history.record_comparison(
                answer.relative_time > factor * median, self._clock()
            )
        history.times.append(TimeSample(self._clock(), answer.relative_time))

    def evidence(self) -> Evidence:
        """Return the counts of the target and of its baseline.

        Groups in which only the baseline has answers are included.
        """
        own_by_group = self._history_by_version[self.target]
        return [
            self._group_counts(group, own_by_group.get(group, NO_ANSWERS))
            for group in self._groups()
        ]

    def shared_samples(self) -> Iterator[BaselineSamples]:
        """Yield this daemon's newest baseline samples of each group."""
        for group in self._groups():
            newest = self._recent_samples(group)[-MAX_SHARED_SAMPLES:]
            if newest:
                yield BaselineSamples(
                    group,
                    [self._clock() - sample.recorded_s for sample in newest],
                    [sample.relative_time for sample in newest],
                )

    def _groups(self) -> list[SampleGroup]:
        groups = {
            group
            for history_by_group in self._history_by_version.values()
            for group in history_by_group
        }
        return sorted(groups, key=_group_order)

    def _group_counts(
        self, group: SampleGroup, own: _SampleHistory
    ) -> GroupCounts:
        baseline = list(self._baseline_histories(group))
        ages = [self._clock() - slow_at_s for slow_at_s in own.slow_at_s]
        return GroupCounts(
            group=group,
            answers=len(own.failures),
            failures=sum(own.failures),
            compared=len(own.slow),
            slow=sum(own.slow),
            baseline_answers=sum(len(history.failures) for history in baseline),
            baseline_failures=sum(
                sum(history.failures) for history in baseline
            ),
            baseline_compared=sum(len(history.slow) for history in baseline),
            baseline_slow=sum(sum(history.slow) for history in baseline),
            oldest_slow_age_s=max(ages, default=0),
            newest_slow_age_s=min(ages, default=math.inf),
            recent=self._recent_counts(own, baseline, ages),
            series=[self._series(own, baseline)]
            if group.measure is Measure.START
            else [],
        )

    def _series(
        self, own: _SampleHistory, baseline: list[_SampleHistory]
    ) -> StratumSeries:
        """Return the strata since the order, in pairs of the two sides."""
        now_s = self._clock()
        newest = span_number(now_s)
        strata = itertools.chain(
            own.by_time.as_target(newest),
            *(history.by_time.as_baseline(newest) for history in baseline),
        )
        since_order = newest - self._first_span
        return StratumSeries(
            span_age_s(newest, now_s),
            [stratum for stratum in strata if stratum.steps <= since_order],
        )

    def _recent_counts(
        self,
        own: _SampleHistory,
        baseline: list[_SampleHistory],
        slow_ages_s: list[float],
    ) -> RecentCounts:
        since_s = self._clock() - self._recent_s
        failures = own.recent_failures(since_s)
        slow = own.recent_slow(since_s)
        recent_ages_s = (age for age in slow_ages_s if age <= self._recent_s)
        baseline_failures = list(
            itertools.chain.from_iterable(
                history.recent_failures(since_s) for history in baseline
            )
        )
        return RecentCounts(
            answers=len(failures),
            failures=sum(failures),
            baseline_answers=len(baseline_failures),
            baseline_failures=sum(baseline_failures),
            compared=len(slow),
            slow=sum(slow),
            oldest_slow_age_s=max(recent_ages_s, default=0),
        )

    def _baseline_median(self, group: SampleGroup) -> float | None:
        """Return the baseline's median latency, None with too few samples."""
        recent = self._recent_samples(
            group, self.peer_samples_by_group.get(group, ())
        )
        if len(recent) < MIN_BASELINE_SAMPLES:
            return None
        newest = recent[-MAX_BASELINE_SAMPLES:]
        return statistics.median(sample.relative_time for sample in newest)

    def _recent_samples(
        self, group: SampleGroup, peer_samples: Iterable[TimeSample] = ()
    ) -> list[TimeSample]:
        """Return this and other daemons' recent samples, oldest first."""
        oldest_s = self._clock() - MAX_BASELINE_AGE_S
        own_samples = itertools.chain.from_iterable(
            history.times for history in self._baseline_histories(group)
        )
        return sorted(
            (
                sample
                for sample in itertools.chain(own_samples, peer_samples)
                if sample.recorded_s >= oldest_s
            ),
            key=lambda sample: sample.recorded_s,
        )

    def _baseline_histories(
        self, group: SampleGroup
    ) -> Iterator[_SampleHistory]:
        for version, history_by_group in self._history_by_version.items():
            if version != self.target and group in history_by_group:
                yield history_by_group[group]


def _group_order(group: SampleGroup) -> tuple[str, str]:
    return group.request_class, group.measure.value
