"""Keep recent answers until they are rated."""

import dataclasses
import threading

from marigoldhoist.components.quality.cells import CellKey
from marigoldhoist.components.ratings.const import MAX_RECENT_ANSWERS


@dataclasses.dataclass(frozen=True, slots=True)
class RecentAnswer:
    """The cell that an answer was counted in, and its doubt score."""

    key: CellKey
    doubt: float


class RecentAnswers:
    """This daemon's latest unrated answers, by workspace and request id."""

    def __init__(self, max_answers: int = MAX_RECENT_ANSWERS) -> None:
        self._max_answers = max_answers
        self._lock = threading.Lock()
        self._answer_by_request: dict[tuple[str, str], RecentAnswer] = {}

    def add(self, request: tuple[str, str], answer: RecentAnswer) -> None:
        """Add an answer and drop the oldest one beyond the limit."""
        with self._lock:
            self._answer_by_request[request] = answer
            if len(self._answer_by_request) > self._max_answers:
                oldest = next(iter(self._answer_by_request))
                self._answer_by_request.pop(oldest)

    def pop(self, request: tuple[str, str]) -> RecentAnswer | None:
        """Remove and return an answer, or None if it is unknown.

        An answer is returned only once, so a repeated rating is ignored.
        """
        with self._lock:
            return self._answer_by_request.pop(request, None)
