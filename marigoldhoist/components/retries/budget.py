"""A budget of retries that grows with the requests it serves."""

import threading

from marigoldhoist.components.retries.const import (
    FLOOR_PER_S,
    MAX_SAVED_RETRIES,
    RETRY_SHARE,
)


class RetryBudget:
    """A token bucket: each request adds a share of a retry.

    A small rate is added besides, so that rare requests can be retried too.
    Over any time the retries stay under the share of the requests, plus that
    rate, plus what the bucket holds at most.
    """

    def __init__(self, now_s: float) -> None:
        self._tokens = MAX_SAVED_RETRIES
        self._filled_s = now_s
        self._lock = threading.Lock()

    def deposit(self) -> None:
        """Count one request that came in."""
        with self._lock:
            self._add(RETRY_SHARE)

    def try_take(self, now_s: float) -> bool:
        """Take one retry, or tell that the budget is spent."""
        with self._lock:
            self._add(FLOOR_PER_S * max(0, now_s - self._filled_s))
            self._filled_s = now_s
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True

    def _add(self, tokens: float) -> None:
        self._tokens = min(MAX_SAVED_RETRIES, self._tokens + tokens)
