"""Limit retries to a ratio of the requests in a sliding window.

In an outage every request would be retried. Each daemon therefore keeps its
retries below a ratio of the requests that it received in the same window. The
ratio then holds for the whole fleet without messages between daemons.
"""

import collections


class SlidingRetryBudget:
    """Counts requests and retries of one service in a sliding window.

    In a window, `floor` retries are permitted regardless of the requests, and
    `ratio` times the number of requests in addition.
    """

    def __init__(self, ratio: float, window_s: float, floor: int = 0) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._floor = floor
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def note_request(self, now_s: float) -> None:
        """Count one request of a caller."""
        self._requests.append(now_s)
        self._expire(now_s)

    def withdraw_request(self) -> None:
        """Take back the newest request, which was not this daemon's."""
        if self._requests:
            self._requests.pop()

    def try_take(self, now_s: float, reserved_share: float = 0) -> bool:
        """Take one retry; return False if the budget is exhausted.

        `reserved_share` of the ratio, from 0 to 1, is not used, so that it
        remains for retries with a higher priority.
        """
        self._expire(now_s)
        if len(self._retries) >= self._permitted(1 - reserved_share):
            return False
        self._retries.append(now_s)
        return True

    def remaining(self, now_s: float) -> int:
        """Return how many retries are permitted now."""
        self._expire(now_s)
        return max(0, self._permitted(1) - len(self._retries))

    def _permitted(self, share: float) -> int:
        return self._floor + int(share * self._ratio * len(self._requests))

    def _expire(self, now_s: float) -> None:
        window_start_s = now_s - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < window_start_s:
                times.popleft()
