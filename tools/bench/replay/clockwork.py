"""Run timed actions in order."""

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]


class Clockwork:
    """A queue of actions by simulated time, in seconds."""

    def __init__(self) -> None:
        self.now_s: float = 0
        self._numbers = itertools.count()
        self._queue: list[tuple[float, int, Action]] = []

    def at(self, time_s: float, action: Action) -> None:
        """Run an action at a time; equal times keep their order."""
        entry = (time_s, next(self._numbers), action)
        heapq.heappush(self._queue, entry)

    def after(self, delay_s: float, action: Action) -> None:
        """Run an action after a delay."""
        self.at(self.now_s + delay_s, action)

    def every(self, interval_s: float, action: Action) -> None:
        """Run an action again and again."""

        def run() -> None:
            action()
            self.after(interval_s, run)

        self.after(interval_s, run)

    def run_until(self, end_s: float) -> None:
        """Run every action up to a time."""
        queue = self._queue
        while queue and queue[0][0] <= end_s:
            entry = heapq.heappop(queue)
            self.now_s = entry[0]
            entry[2]()
        self.now_s = end_s
