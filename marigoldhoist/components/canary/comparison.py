"""Judge a new version by its failures and its times.

Answers a version that fails or is slow at once, later on, or on one route
only: each route is judged by itself, against the old version's answers over
the same time. A version that starts an answer in time may still be slow to go
on with it, so the pace of streams is measured besides.
"""

import collections
import dataclasses
import itertools
import math
import statistics
from collections.abc import Callable, Iterator, Mapping
from typing import Final

from marigoldhoist.components.canary.evidence import (
    Evidence,
    Measure,
    Work,
    WorkEvidence,
)

# Answers counted of each version and work.
REMEMBERED_ANSWERS: Final = 60
# An answer is compared with this many of the others' newest, no older than
# this, so that both were made under the same load; fewer than the least are no
# measure.
MOST_COMPARED: Final = 12
LEAST_COMPARED: Final = 4
LONGEST_COMPARED_S: Final = 10.0
# An answer is slow if it took this many times as long as the others' do for
# the same work. Times to the start of an answer vary more than the pace.
SLOW_FACTOR_BY_MEASURE: Final[Mapping[Measure, float]] = {
    Measure.START: 4.0,
    Measure.PACE: 1.75,
}


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerSample:
    """One answer: whether it failed, and a time of it.

    The time is relative to what the request's size explains; `kind` names
    the kind of work that it may be compared with.
    """

    is_failure: bool
    relative_time: float
    kind: str
    measure: Measure = Measure.START

    @property
    def work(self) -> Work:
        """Return what its time is compared with."""
        return Work(self.kind, self.measure)


@dataclasses.dataclass(frozen=True, slots=True)
class _Timed:
    """The time that an answer took, and when it was noted."""

    noted_s: float
    relative_time: float


class _Answers:
    """The newest answers of a version for one kind of work."""

    def __init__(self) -> None:
        self.failures: collections.deque[bool] = collections.deque(
            maxlen=REMEMBERED_ANSWERS
        )
        self.slow: collections.deque[bool] = collections.deque(
            maxlen=REMEMBERED_ANSWERS
        )
        self.slow_s: collections.deque[float] = collections.deque(
            maxlen=REMEMBERED_ANSWERS
        )
        self.times: collections.deque[_Timed] = collections.deque(
            maxlen=MOST_COMPARED
        )

    def compare(self, is_slow: bool, now_s: float) -> None:
        """Take in whether an answer was slow."""
        self.slow.append(is_slow)
        if is_slow:
            self.slow_s.append(now_s)


class VersionJudge:
    """Answers of one service by version and by work.

    Those of the versions in use are remembered between roll-outs, so that a
    new version can be compared from its first answer on.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._answers: dict[str, dict[Work, _Answers]] = (
            collections.defaultdict(lambda: collections.defaultdict(_Answers))
        )
        self.target = ''

    def begin(self, target: str) -> None:
        """Judge a version anew, against all others."""
        self._answers.pop(target, None)
        self.target = target

    def note(self, version: str, answer: AnswerSample) -> None:
        """Take in one answer of a version."""
        seen = self._answers[version][answer.work]
        seen.failures.append(answer.is_failure)
        if answer.is_failure:
            return
        usual = self._usual_time(answer.work)
        if usual is not None:
            factor = SLOW_FACTOR_BY_MEASURE[answer.measure]
            seen.compare(answer.relative_time > factor * usual, self._clock())
        seen.times.append(_Timed(self._clock(), answer.relative_time))

    def evidence(self) -> Evidence:
        """Return what was seen of the target, and of the others' same work."""
        return [
            self._work_evidence(work, seen)
            for work, seen in tuple(self._answers[self.target].items())
        ]

    def _work_evidence(self, work: Work, own: _Answers) -> WorkEvidence:
        others = list(self._others(work))
        ages = [self._clock() - slow_s for slow_s in own.slow_s]
        return WorkEvidence(
            work=work,
            answers=len(own.failures),
            failures=sum(own.failures),
            compared=len(own.slow),
            slow=sum(own.slow),
            others_answers=sum(len(one.failures) for one in others),
            others_failures=sum(sum(one.failures) for one in others),
            others_compared=sum(len(one.slow) for one in others),
            others_slow=sum(sum(one.slow) for one in others),
            oldest_slow_age_s=max(ages, default=0),
            newest_slow_age_s=min(ages, default=math.inf),
        )

    def _usual_time(self, work: Work) -> float | None:
        """Return the others' median now, none where few are known."""
        oldest_s = self._clock() - LONGEST_COMPARED_S
        timed = itertools.chain.from_iterable(
            one.times for one in self._others(work)
        )
        recent = sorted(
            (one for one in timed if one.noted_s >= oldest_s),
            key=lambda one: one.noted_s,
        )
        if len(recent) < LEAST_COMPARED:
            return None
        newest = recent[-MOST_COMPARED:]
        return statistics.median(one.relative_time for one in newest)

    def _others(self, work: Work) -> Iterator[_Answers]:
        for version, answers_by_work in self._answers.items():
            if version != self.target and work in answers_by_work:
                yield answers_by_work[work]
