"""Derive the delay before a hedged request from first token delays."""

import threading

from hdrh.histogram import HdrHistogram

from marigoldhoist.components.retries.const import (
    HEDGE_PERCENTILE,
    MAX_DELAY_US,
    MIN_HEDGE_SAMPLES,
    SIGNIFICANT_DIGITS,
    US_PER_S,
    WINDOW_S,
)


class FirstTokenDelays:
    """The distribution of the first token delays of one model version.

    Delays are collected in consecutive windows. The hedge delay is updated at
    the end of each window, and within a window as soon as it has enough
    samples; a window with fewer samples leaves it unchanged.
    """

    def __init__(self, now_s: float) -> None:
        self._lock = threading.Lock()
        self._current = _histogram()
        self._window_start_s = now_s
        self._hedge_delay_s: float | None = None

    def record(self, delay_s: float, now_s: float) -> None:
        """Record one first token delay, in seconds."""
        value_us = min(MAX_DELAY_US, max(1, int(delay_s * US_PER_S)))
        with self._lock:
            self._current.record_value(value_us)
            samples = self._current.get_total_count()
            if (
                samples == MIN_HEDGE_SAMPLES
                or now_s > self._window_start_s + WINDOW_S
            ):
                self._update(samples, now_s)

    def hedge_delay_s(self) -> float | None:
        """Return the newest p95 in seconds, None before enough samples."""
        return self._hedge_delay_s

    def _update(self, samples: int, now_s: float) -> None:
        if samples >= MIN_HEDGE_SAMPLES:
            delay_us = self._current.get_value_at_percentile(HEDGE_PERCENTILE)
            self._hedge_delay_s = float(delay_us) / US_PER_S
        if now_s > self._window_start_s + WINDOW_S:
            self._current = _histogram()
            self._window_start_s = now_s


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_DELAY_US, SIGNIFICANT_DIGITS)
