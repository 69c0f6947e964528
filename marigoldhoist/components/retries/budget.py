"""Limit retries to a share of the requests with a token bucket."""

import threading

from marigoldhoist.components.retries.const import (
    MAX_SAVED_RETRIES,
    MIN_RETRIES_PER_S,
    RETRIES_PER_REQUEST,
)


class RetryBudget:
    """A token bucket in which each token permits one retry.

    Each request adds a fraction of a token. Tokens are also added at a small
    constant rate, so that rare requests can be retried. The retries in any
    period are bounded by the sum of both plus the capacity of the bucket.
    """

    def __init__(self, now_s: float) -> None:
        self._tokens = MAX_SAVED_RETRIES
        self._refilled_s = now_s
        self._lock = threading.Lock()

    def deposit(self) -> None:
        """Add the fraction of a retry that one request contributes."""
        with self._lock:
            self._add(RETRIES_PER_REQUEST)

    def try_take(self, now_s: float) -> bool:
        """Take one retry; return False if the budget is exhausted."""
        with self._lock:
            self._add(MIN_RETRIES_PER_S * max(0, now_s - self._refilled_s))
            self._refilled_s = now_s
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True

    def _add(self, tokens: float) -> None:
        self._tokens = min(MAX_SAVED_RETRIES, self._tokens + tokens)
