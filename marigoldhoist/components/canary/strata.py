"""Counts of answers by the time at which they came.

Failures of a new version are comparable only with what the other versions did
at the same time, as the replicas of all versions may fail for a while.
"""

import collections
import dataclasses
import itertools
from collections.abc import Iterable, Iterator
from typing import Final

import msgspec

# Length of a stratum, and the number of newest strata that are kept.
STRATUM_S: Final = 2.0
MAX_STRATA: Final = 20


class Stratum(msgspec.Struct, frozen=True, array_like=True):
    """Answers and failures of a new version and its baseline at one time.

    `steps` is the number of strata between this one and the newest of its
    series.
    """

    steps: int
    answers: int
    failures: int
    baseline_answers: int
    baseline_failures: int

    def before(self, steps: int) -> 'Stratum':
        """Return the counts as those of some strata earlier."""
        return Stratum(
            self.steps + steps,
            self.answers,
            self.failures,
            self.baseline_answers,
            self.baseline_failures,
        )

    def plus(self, other: 'Stratum') -> 'Stratum':
        """Return the sums of the counts, at the place of this stratum."""
        return Stratum(
            self.steps,
            self.answers + other.answers,
            self.failures + other.failures,
            self.baseline_answers + other.baseline_answers,
            self.baseline_failures + other.baseline_failures,
        )


class StratumSeries(msgspec.Struct, frozen=True, array_like=True):
    """The strata of one daemon.

    `age_s` is the age of the middle of the newest stratum.
    """

    age_s: float
    strata: list[Stratum]

    @property
    def steps(self) -> int:
        """Return the number of strata between the newest and the present."""
        return round(self.age_s / STRATUM_S)

    def older(self, age_s: float) -> 'StratumSeries':
        """Return the series as it is that much later."""
        return StratumSeries(self.age_s + age_s, self.strata)


def pooled(series: Iterable[StratumSeries]) -> Iterable[Stratum]:
    """Return the strata of several daemons, summed by their time.

    Their steps are counted from the present.
    """
    stratum_by_steps: dict[int, Stratum] = {}
    for stratum in itertools.chain.from_iterable(
        map(in_steps_from_now, series)
    ):
        known = stratum_by_steps.get(stratum.steps)
        stratum_by_steps[stratum.steps] = (
            known.plus(stratum) if known else stratum
        )
    return stratum_by_steps.values()


def in_steps_from_now(series: StratumSeries) -> Iterator[Stratum]:
    """Yield the strata with their steps counted from the present."""
    for stratum in series.strata:
        yield stratum.before(series.steps) if series.steps else stratum


@dataclasses.dataclass(slots=True)
class _Span:
    """Counts of one version's answers; the number is that of the time."""

    number: int
    answers: int = 0
    failures: int = 0


class FailureHistory:
    """The newest answers of one version by the time at which they came."""

    def __init__(self) -> None:
        self._spans: collections.deque[_Span] = collections.deque(
            maxlen=MAX_STRATA
        )

    def record(self, is_failure: bool, now_s: float) -> None:
        """Record whether an answer was a failure."""
        number = span_number(now_s)
        if not self._spans or self._spans[-1].number != number:
            self._spans.append(_Span(number))
        self._spans[-1].answers += 1
        self._spans[-1].failures += is_failure

    def as_target(self, newest: int) -> Iterator[Stratum]:
        """Yield the strata of a new version, up to the newest span."""
        for span in self._spans:
            steps = newest - span.number
            yield Stratum(steps, span.answers, span.failures, 0, 0)

    def as_baseline(self, newest: int) -> Iterator[Stratum]:
        """Yield the strata of a version of the baseline."""
        for span in self._spans:
            steps = newest - span.number
            yield Stratum(steps, 0, 0, span.answers, span.failures)


def span_number(now_s: float) -> int:
    """Return the number of the span that a boot time is in."""
    return int(now_s // STRATUM_S)


def span_age_s(number: int, now_s: float) -> float:
    """Return the age of the middle of a span."""
    return now_s - (number + 1 / 2) * STRATUM_S
