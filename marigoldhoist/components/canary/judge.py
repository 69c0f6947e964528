"""Judge a new version by its failures and its times.

Answers a version that fails or is slow at once, later on, or on one route
only: each route is judged by itself, against the old version's answers over
the same time.
"""

import collections
import dataclasses
import itertools
import statistics
from collections.abc import Iterator
from typing import Final

from marigoldhoist.components.canary.const import (
    FAILURE_FACTOR,
    LEAST_COMPARED,
    LEAST_FAILURES,
    LEAST_SLOW_ANSWERS,
    LEAST_SLOW_SHARE,
    SLOW_FACTOR,
    SLOW_SHARE_FACTOR,
)

# Answers remembered of each version and route.
REMEMBERED_ANSWERS: Final = 60
# Failures of the old version that count even where none was seen.
PRIOR_FAILURES: Final = 0.5
# A version without many answers is taken to have one slow answer in ten.
PRIOR_SLOW: Final = 1
PRIOR_ANSWERS: Final = 10


@dataclasses.dataclass(frozen=True, slots=True)
class SeenAnswer:
    """One answer: whether it failed, and how long its start took.

    The time is relative to what the request's size explains; `work` names
    the kind of work that it may be compared with.
    """

    is_failure: bool
    relative_time: float
    work: str


def _remembered() -> collections.deque[SeenAnswer]:
    return collections.deque(maxlen=REMEMBERED_ANSWERS)


class VersionJudge:
    """Answers of one service by version and by kind of work."""

    def __init__(self) -> None:
        self._seen: dict[str, dict[str, collections.deque[SeenAnswer]]] = (
            collections.defaultdict(
                lambda: collections.defaultdict(_remembered)
            )
        )

    def note(self, version: str, answer: SeenAnswer) -> None:
        """Take in one answer of a version."""
        self._seen[version][answer.work].append(answer)

    def complaint(self, target: str) -> str:
        """Return why the version is bad, empty where nothing shows that."""
        works = self._seen[target]
        failed = sum(_failures(seen) for seen in works.values())
        others = list(self._answers_of_others(target))
        if failed >= LEAST_FAILURES and self._fails_more(works, others):
            return f'{failed} failures'
        slow, judged = self._slow_answers(target)
        if slow >= LEAST_SLOW_ANSWERS and slow > judged * self._slow_bound(
            target
        ):
            return f'{slow} of {judged} answers slow'
        return ''

    def _answers_of_others(self, target: str) -> Iterator[SeenAnswer]:
        for version, seen_by_work in self._seen.items():
            if version != target:
                yield from itertools.chain.from_iterable(seen_by_work.values())

    def _fails_more(
        self,
        works: dict[str, collections.deque[SeenAnswer]],
        others: list[SeenAnswer],
    ) -> bool:
        usual = (PRIOR_FAILURES + _failures(others)) / (1 + len(others))
        return any(
            _failures(seen) / len(seen) > FAILURE_FACTOR * usual
            for seen in works.values()
            if _failures(seen)
        )

    def _slow_answers(self, version: str) -> tuple[int, int]:
        """Return how many answers were slow, and of how many.

        Each is compared with the others' usual time for the same work, so
        that answers of unlike work count together.
        """
        slow = 0
        judged = 0
        for work, seen in self._seen[version].items():
            usual = self._usual_time(version, work)
            if usual is None:
                continue
            times = [one.relative_time for one in seen if not one.is_failure]
            judged += len(times)
            slow += sum(1 for time in times if time > SLOW_FACTOR * usual)
        return slow, judged

    def _slow_bound(self, target: str) -> float:
        """Return the share of slow answers above which a version is slow."""
        slow = 0
        judged = 0
        for version in self._seen.keys() - {target}:
            found = self._slow_among_own(version)
            slow += found[0]
            judged += found[1]
        return max(
            LEAST_SLOW_SHARE,
            SLOW_SHARE_FACTOR * (PRIOR_SLOW + slow) / (PRIOR_ANSWERS + judged),
        )

    def _slow_among_own(self, version: str) -> tuple[int, int]:
        """Return the answers that were slow for the version itself."""
        slow = 0
        judged = 0
        for seen in self._seen[version].values():
            times = [one.relative_time for one in seen if not one.is_failure]
            if len(times) < LEAST_COMPARED:
                continue
            usual = statistics.median(times)
            judged += len(times)
            slow += sum(1 for time in times if time > SLOW_FACTOR * usual)
        return slow, judged

    def _usual_time(self, target: str, work: str) -> float | None:
        """Return the other versions' median, none where few are known."""
        times = [
            answer.relative_time
            for answer in self._answers_of_others(target)
            if answer.work == work and not answer.is_failure
        ]
        if len(times) < LEAST_COMPARED:
            return None
        return statistics.median(times)


def _failures(seen: collections.deque[SeenAnswer] | list[SeenAnswer]) -> int:
    return sum(1 for answer in seen if answer.is_failure)
