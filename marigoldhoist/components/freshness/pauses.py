"""Detect that the process was paused."""

import threading

from marigoldhoist.components.freshness.const import MAX_TICK_GAP_S
from marigoldhoist.core.clock import SYSTEM_CLOCK, Clock


class PauseDetector:
    """Detects pauses by the time between two ticks.

    After a pause, a request thread may run before the ticking thread does, so
    `is_stale` checks the age of the last tick as well.
    """

    def __init__(self, clock: Clock = SYSTEM_CLOCK) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._last_tick_s = clock.monotonic_s()
        self._is_paused = False

    @property
    def is_stale(self) -> bool:
        """Return whether a pause was detected and has not been ended."""
        with self._lock:
            return self._is_paused or self._tick_gap_s() > MAX_TICK_GAP_S

    def tick(self) -> bool:
        """Record a tick; return whether a pause has not been ended."""
        with self._lock:
            if self._tick_gap_s() > MAX_TICK_GAP_S:
                self._is_paused = True
            self._last_tick_s = self._clock.monotonic_s()
            return self._is_paused

    def end_pause(self) -> None:
        """End the pause, so that the state no longer counts as stale."""
        with self._lock:
            self._is_paused = False

    def _tick_gap_s(self) -> float:
        return self._clock.monotonic_s() - self._last_tick_s
