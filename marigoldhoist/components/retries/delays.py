"""When a request has waited so long that a second try is worth it."""

import threading

from hdrh.histogram import HdrHistogram

from marigoldhoist.components.retries.const import (
    HEDGE_PERCENTILE,
    LONGEST_US,
    MIN_HEDGE_SAMPLES,
    SIGNIFICANT_DIGITS,
    US_PER_S,
    WINDOW_S,
)


class FirstTokenDelays:
    """Delays to the first token of one version over the last window."""

    def __init__(self, now_s: float) -> None:
        self._lock = threading.Lock()
        self._current = _histogram()
        self._since_s = now_s
        self._hedge_delay_s: float | None = None

    def record(self, delay_s: float, now_s: float) -> None:
        """Count the delay of one first token."""
        value_us = min(LONGEST_US, max(1, int(delay_s * US_PER_S)))
        with self._lock:
            self._current.record_value(value_us)
            samples = self._current.get_total_count()
            if samples == MIN_HEDGE_SAMPLES or now_s > self._since_s + WINDOW_S:
                self._close_window(samples, now_s)

    def hedge_delay_s(self) -> float | None:
        """Return the p95 of the last window, none where too few are known."""
        return self._hedge_delay_s

    def _close_window(self, samples: int, now_s: float) -> None:
        if samples >= MIN_HEDGE_SAMPLES:
            found = self._current.get_value_at_percentile(HEDGE_PERCENTILE)
            self._hedge_delay_s = float(found) / US_PER_S
        if now_s > self._since_s + WINDOW_S:
            self._current = _histogram()
            self._since_s = now_s


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
