"""Batch scheduler of the fake engine: priority queue, slots and load counts."""

import collections
import dataclasses
import heapq
import itertools
import threading
import time

SLOTS = 8  # Largest batch that does not slow down token generation.
MAX_RUNNING = 16


@dataclasses.dataclass(frozen=True, slots=True)
class BatchCounts:
    """Running and waiting requests at a monotonic time."""

    time_s: float
    running: int
    waiting: int


class Batch:
    """Admits the lowest priority value first, then in order of arrival."""

    def __init__(self, max_running: int = MAX_RUNNING) -> None:
        self._max_running = max_running
        self._changed = threading.Condition()
        self._arrival_numbers = itertools.count()
        self._waiting: list[tuple[int, int]] = []
        self._running = 0
        self._history: collections.deque[BatchCounts] = collections.deque(
            [BatchCounts(0, 0, 0)], maxlen=1000
        )

    def enter(self, priority: int) -> None:
        """Block until the request is admitted to the batch."""
        with self._changed:
            ticket = (priority, next(self._arrival_numbers))
            heapq.heappush(self._waiting, ticket)
            self._record_and_notify()
            self._changed.wait_for(lambda: self._is_next(ticket))
            heapq.heappop(self._waiting)
            self._running += 1
            self._record_and_notify()

    def leave(self) -> None:
        """Release the request's place in the batch."""
        with self._changed:
            self._running -= 1
            self._record_and_notify()

    def slowdown(self) -> float:
        """Return the factor by which the batch's size slows down each token."""
        return max(1, self._running / SLOTS)

    def lagged_counts(self, lag_s: float) -> BatchCounts:
        """Return the counts of `lag_s` seconds ago, or the oldest known."""
        until_s = time.monotonic() - lag_s
        with self._changed:
            for counts in reversed(self._history):
                if counts.time_s <= until_s:
                    return counts
            return self._history[0]

    def _is_next(self, ticket: tuple[int, int]) -> bool:
        return self._running < self._max_running and self._waiting[0] == ticket

    def _record_and_notify(self) -> None:
        counts = BatchCounts(
            time.monotonic(), self._running, len(self._waiting)
        )
        self._history.append(counts)
        self._changed.notify_all()
