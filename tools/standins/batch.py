"""The batch of a model engine: slots, a queue by priority, and its load."""

import collections
import dataclasses
import heapq
import itertools
import threading
import time

SLOTS = 8
MAX_RUNNING = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Counted:
    """The batch's counts at one time."""

    time_s: float
    running: int
    waiting: int


class Batch:
    """Admits requests in the order of their priority, then of arrival."""

    def __init__(self, max_running: int = MAX_RUNNING) -> None:
        self._max_running = max_running
        self._changed = threading.Condition()
        self._order = itertools.count()
        self._waiting: list[tuple[int, int]] = []
        self._running = 0
        self._history: collections.deque[Counted] = collections.deque(
            [Counted(0, 0, 0)], maxlen=1000
        )

    def enter(self, priority: int) -> None:
        """Wait for a place in the batch."""
        with self._changed:
            ticket = (priority, next(self._order))
            heapq.heappush(self._waiting, ticket)
            self._note()
            self._changed.wait_for(lambda: self._is_next(ticket))
            heapq.heappop(self._waiting)
            self._running += 1
            self._note()

    def leave(self) -> None:
        """Give the place back."""
        with self._changed:
            self._running -= 1
            self._note()

    def slowdown(self) -> float:
        """Return by how much the batch's size stretches a token's time."""
        return max(1, self._running / SLOTS)

    def counted(self, lag_s: float) -> Counted:
        """Return the counts as they were some time ago."""
        until_s = time.monotonic() - lag_s
        with self._changed:
            for past in reversed(self._history):
                if past.time_s <= until_s:
                    return past
            return self._history[0]

    def _is_next(self, ticket: tuple[int, int]) -> bool:
        return self._running < self._max_running and self._waiting[0] == ticket

    def _note(self) -> None:
        counted = Counted(time.monotonic(), self._running, len(self._waiting))
        self._history.append(counted)
        self._changed.notify_all()
