"""What was seen of a new version, and whether that shows it to be bad.

Answers a fleet whose every daemon sees few answers of the new version: the
counts of several daemons are put together before they are judged.
"""

import dataclasses
import enum
from collections.abc import Iterable, Iterator, Mapping
from typing import Final, TypeAlias

import msgspec

# A version is bad after this many failures, if on some route it fails at
# least this often, and this many times more often than the others do.
LEAST_FAILURES: Final = 2
LEAST_FAILURE_SHARE: Final = 0.05
FAILURE_FACTOR: Final = 4.0
# Failures of the others that count even where none was seen.
PRIOR_FAILURES: Final = 0.5
# Load that rises at once slows a few answers down in the same moment, first
# where there are few replicas; answers of a slow version go on being slow.
LEAST_SLOW_SPAN_S: Final = 1.5
# It is slow if enough of its answers are, and this many times more often than
# the others' own.
SLOW_SHARE_FACTOR: Final = 3.0
# Others without many answers are taken to have one slow answer in ten.
PRIOR_SLOW: Final = 1
PRIOR_ANSWERS: Final = 10
# Slow answers of one kind of work that are enough by themselves, and the share
# of that work's answers that they must be.
LEAST_SLOW_OF_WORK: Final = 5
LEAST_SLOW_SHARE_OF_WORK: Final = 0.8


class Measure(enum.Enum):
    """Which time of an answer is compared."""

    START = 'start'
    PACE = 'pace'


@dataclasses.dataclass(frozen=True, slots=True)
class SlowRule:
    """How many slow answers, and which share of all, show a slow version."""

    least_answers: int
    least_share: float


# Times to the start of an answer vary with what a replica has in hand.
SLOW_RULE_BY_MEASURE: Final[Mapping[Measure, SlowRule]] = {
    Measure.START: SlowRule(least_answers=3, least_share=0.5),
    Measure.PACE: SlowRule(least_answers=3, least_share=0.35),
}


class Work(msgspec.Struct, frozen=True, array_like=True):
    """A kind of work and a time of its answers, compared by themselves."""

    kind: str
    measure: Measure


class WorkEvidence(msgspec.Struct, array_like=True):
    """Counts of answers of one work: the new version's, and the others'.

    `compared` answers were compared with the others' usual time; `slow` of
    them took much longer, the oldest and the newest of them so long ago.
    """

    work: Work
    answers: int
    failures: int
    compared: int
    slow: int
    others_answers: int
    others_failures: int
    others_compared: int
    others_slow: int
    oldest_slow_age_s: float
    newest_slow_age_s: float

    def add(self, other: 'WorkEvidence') -> None:
        """Add another daemon's counts of the same work."""
        self.answers += other.answers
        self.failures += other.failures
        self.compared += other.compared
        self.slow += other.slow
        self.others_answers += other.others_answers
        self.others_failures += other.others_failures
        self.others_compared += other.others_compared
        self.others_slow += other.others_slow
        self.oldest_slow_age_s = max(
            self.oldest_slow_age_s, other.oldest_slow_age_s
        )
        self.newest_slow_age_s = min(
            self.newest_slow_age_s, other.newest_slow_age_s
        )

    @property
    def is_slower_than_others(self) -> bool:
        """Tell whether it is slow more often, and for more than a moment."""
        span_s = self.oldest_slow_age_s - self.newest_slow_age_s
        return (
            span_s >= LEAST_SLOW_SPAN_S
            and self.slow > self.compared * self.slow_bound
        )

    @property
    def slow_bound(self) -> float:
        """Return the share of slow answers that shows a slow version."""
        others_share = (PRIOR_SLOW + self.others_slow) / (
            PRIOR_ANSWERS + self.others_compared
        )
        rule = SLOW_RULE_BY_MEASURE[self.work.measure]
        return max(rule.least_share, SLOW_SHARE_FACTOR * others_share)


Evidence: TypeAlias = list[WorkEvidence]


class DaemonEvidence(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's evidence, and how long it has known of the roll-out.

    `under_way` has the positions of sessions that are under way on another
    version, of those that would try the new one.
    """

    known_for_s: float
    evidence: Evidence
    under_way: list[float] = []


def pooled(evidences: Iterable[Evidence]) -> Evidence:
    """Return the counts of several daemons put together."""
    pooled_by_work: dict[Work, WorkEvidence] = {}
    for evidence in evidences:
        for found in evidence:
            known = pooled_by_work.get(found.work)
            if known is None:
                pooled_by_work[found.work] = msgspec.structs.replace(found)
            else:
                known.add(found)
    return list(pooled_by_work.values())


def complaint(evidence: Evidence) -> str:
    """Return why a version is bad, empty where nothing shows that."""
    return next(_complaints(evidence), '')


def _complaints(evidence: Evidence) -> Iterator[str]:
    started = [one for one in evidence if one.work.measure is Measure.START]
    failures = sum(one.failures for one in started)
    if failures >= LEAST_FAILURES and _fails_more(started):
        answers = sum(one.answers for one in started)
        yield f'{failures} of {answers} answers failed'
    for found in filter(_is_slow, _by_measure(evidence)):
        yield _slow_text(found)
    for one in filter(_is_slow_work, evidence):
        yield f'{_slow_text(one)} on {one.work.kind}'


def _slow_text(found: WorkEvidence) -> str:
    return (
        f'{found.slow} of {found.compared} answers slow'
        f' ({found.work.measure.value})'
    )


def _fails_more(started: Evidence) -> bool:
    failures = sum(one.others_failures for one in started)
    answers = sum(one.others_answers for one in started)
    usual = (PRIOR_FAILURES + failures) / (1 + answers)
    bound = max(LEAST_FAILURE_SHARE, FAILURE_FACTOR * usual)
    return any(
        one.failures / one.answers > bound for one in started if one.failures
    )


def _by_measure(evidence: Evidence) -> Evidence:
    """Return all kinds of work together, by what was measured."""
    return pooled(
        [msgspec.structs.replace(one, work=Work('', one.work.measure))]
        for one in evidence
    )


def _is_slow(found: WorkEvidence) -> bool:
    rule = SLOW_RULE_BY_MEASURE[found.work.measure]
    return found.slow >= rule.least_answers and found.is_slower_than_others


def _is_slow_work(found: WorkEvidence) -> bool:
    return (
        found.slow >= LEAST_SLOW_OF_WORK
        and found.slow >= found.compared * LEAST_SLOW_SHARE_OF_WORK
        and found.is_slower_than_others
    )
