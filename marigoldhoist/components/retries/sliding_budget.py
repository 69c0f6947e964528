"""A budget of repeats that holds in every window of a fixed length.

Answers the load of an outage in which every request would be repeated: the
repeats of each daemon stay under a share of the requests that it took in the
same window, so the fleet's do too and no message between daemons is needed.
"""

import collections


class SlidingRetryBudget:
    """Counts requests and repeats of one service in a sliding window."""

    def __init__(self, ratio: float, window_s: float, floor: int = 0) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._floor = floor
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def note_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.append(now_s)
        self._forget(now_s)

    def try_take(self, now_s: float, reserved_part: float = 0) -> bool:
        """Take one repeat, or tell that the budget is spent.

        Of the ratio, a part can be left to those that need it more.
        """
        self._forget(now_s)
        if len(self._repeats) >= self._allowed(1 - reserved_part):
            return False
        self._repeats.append(now_s)
        return True

    def remaining(self, now_s: float) -> int:
        """Return how many repeats are allowed now."""
        self._forget(now_s)
        return max(0, self._allowed(1) - len(self._repeats))

    def _allowed(self, part: float) -> int:
        return self._floor + int(part * self._ratio * len(self._requests))

    def _forget(self, now_s: float) -> None:
        since_s = now_s - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < since_s:
                times.popleft()
