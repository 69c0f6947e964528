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
    LEAST_FAILURES,
    LEAST_SLOW_ANSWERS,
    SLOW_FACTOR,
)

# Answers remembered of each version and route.
REMEMBERED_ANSWERS: Final = 60
# Failures of the old version that count even where none was seen.
PRIOR_FAILURES: Final = 0.5


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
        for work, seen in works.items():
            if self._is_slow(target, work, seen):
                return f'slow on {work}'
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

    def _is_slow(
        self, target: str, work: str, seen: collections.deque[SeenAnswer]
    ) -> bool:
        good = [
            answer.relative_time for answer in seen if not answer.is_failure
        ]
        usual = [
            answer.relative_time
            for answer in self._answers_of_others(target)
            if answer.work == work and not answer.is_failure
        ]
        if min(len(good), len(usual)) < LEAST_SLOW_ANSWERS:
            return False
        return statistics.median(good) > SLOW_FACTOR * statistics.median(usual)


def _failures(seen: collections.deque[SeenAnswer] | list[SeenAnswer]) -> int:
    return sum(1 for answer in seen if answer.is_failure)
