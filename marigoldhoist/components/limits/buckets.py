"""Token bucket that enforces one daemon's share of a rate limit."""

import threading

from marigoldhoist.components.limits.const import AMOUNT_EPSILON


class TokenBucket:
    """Token bucket with a variable rate; its level may become negative.

    A negative level results from amounts that are known only after the
    request, such as generated tokens. It must be refilled before the next
    request is admitted.
    """

    def __init__(self, now_s: float, burst_s: float) -> None:
        self._burst_s = burst_s
        self._level: float | None = None
        self._filled_s = now_s
        self._lock = threading.Lock()

    def wait_s(self, rate: float, now_s: float) -> float:
        """Return the seconds until the next request is admitted, or zero.

        The rate must be greater than zero.
        """
        with self._lock:
            level = self._fill(rate, now_s)
            needed = min(1, rate * self._burst_s)
            missing = needed - level
            if missing < AMOUNT_EPSILON:
                return 0
            return missing / rate

    def take(self, amount: float, rate: float, now_s: float) -> None:
        """Withdraw an amount, even if the level becomes negative."""
        with self._lock:
            self._level = self._fill(rate, now_s) - amount

    def _fill(self, rate: float, now_s: float) -> float:
        capacity = rate * self._burst_s
        level = capacity if self._level is None else self._level
        filled = level + rate * max(0, now_s - self._filled_s)
        self._filled_s = now_s
        self._level = min(capacity, filled)
        return self._level
