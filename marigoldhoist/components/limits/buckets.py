"""Hold one daemon's share of one limit."""

import threading

from marigoldhoist.components.limits.const import SMALLEST_AMOUNT


class TokenBucket:
    """A rate whose share of the limit changes; it may go into debt.

    Debt comes from amounts that are known only after the fact, such as
    tokens; it is paid off before anything is admitted again.
    """

    def __init__(self, now_s: float, burst_s: float) -> None:
        self._burst_s = burst_s
        self._level: float | None = None
        self._filled_s = now_s
        self._lock = threading.Lock()

    def wait_s(self, rate: float, now_s: float) -> float:
        """Return the seconds until a rate above zero admits, zero for now."""
        with self._lock:
            level = self._fill(rate, now_s)
            wanted = min(1, rate * self._burst_s)
            missing = wanted - level
            if missing < SMALLEST_AMOUNT:
                return 0
            return missing / rate

    def take(self, amount: float, rate: float, now_s: float) -> None:
        """Take an amount, into debt where it must."""
        with self._lock:
            self._level = self._fill(rate, now_s) - amount

    def _fill(self, rate: float, now_s: float) -> float:
        most = rate * self._burst_s
        level = most if self._level is None else self._level
        filled = level + rate * max(0, now_s - self._filled_s)
        self._filled_s = now_s
        self._level = min(most, filled)
        return self._level
