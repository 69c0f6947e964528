"""Discrete event scheduling in simulated time."""

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], None]


class EventScheduler:
    """Runs callbacks in the order of their simulated times, in seconds."""

    def __init__(self) -> None:
        self.now_s: float = 0
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, Callback]] = []

    def call_at(self, time_s: float, callback: Callback) -> None:
        """Schedule a callback; callbacks of equal times run in call order."""
        entry = (time_s, next(self._sequence), callback)
        heapq.heappush(self._queue, entry)

    def call_after(self, delay_s: float, callback: Callback) -> None:
        """Schedule a callback after a delay from the current time."""
        self.call_at(self.now_s + delay_s, callback)

    def call_every(self, interval_s: float, callback: Callback) -> None:
        """Schedule a callback periodically, first after one interval."""

        def run() -> None:
            callback()
            self.call_after(interval_s, run)

        self.call_after(interval_s, run)

    def run_until(self, end_s: float) -> None:
        """Run all callbacks due by a time and advance the clock to it."""
        queue = self._queue
        while queue and queue[0][0] <= end_s:
            entry = heapq.heappop(queue)
            self.now_s = entry[0]
            entry[2]()
        self.now_s = end_s
