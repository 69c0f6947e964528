"""Answers that may still be rated."""

import dataclasses
import threading

from marigoldhoist.components.quality.cells import CellKey
from marigoldhoist.components.ratings.const import ANSWERS_KEPT


@dataclasses.dataclass(frozen=True, slots=True)
class RecentAnswer:
    """Which cell an answer was counted in, and its doubt."""

    key: CellKey
    doubt: float


class RecentAnswers:
    """The last answers of this daemon, by workspace and request id."""

    def __init__(self, kept: int = ANSWERS_KEPT) -> None:
        self._kept = kept
        self._lock = threading.Lock()
        self._answer_by_request: dict[tuple[str, str], RecentAnswer] = {}

    def add(self, request: tuple[str, str], answer: RecentAnswer) -> None:
        """Remember an answer and forget the oldest beyond the limit."""
        with self._lock:
            self._answer_by_request[request] = answer
            if len(self._answer_by_request) > self._kept:
                oldest = next(iter(self._answer_by_request))
                self._answer_by_request.pop(oldest)

    def take(self, request: tuple[str, str]) -> RecentAnswer | None:
        """Return an answer once; a repeated rating finds none."""
        with self._lock:
            return self._answer_by_request.pop(request, None)
