"""Notice that the process stood still."""

import threading

from marigoldhoist.components.freshness.const import LONGEST_GAP_S
from marigoldhoist.core.clock import SYSTEM_CLOCK, Clock


class PauseDetector:
    """Compares the time between ticks with the longest gap allowed.

    A request thread may run before the ticking thread does after a pause, so
    that `is_suspect` looks at the age of the last tick as well.
    """

    def __init__(self, clock: Clock = SYSTEM_CLOCK) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._last_tick_s = clock.monotonic_s()
        self._is_paused = False

    @property
    def is_suspect(self) -> bool:
        """Tell whether a pause was noticed and not yet made good."""
        with self._lock:
            return self._is_paused or self._gap_s() > LONGEST_GAP_S

    def tick(self) -> bool:
        """Note that the process runs; True where it had stood still."""
        with self._lock:
            if self._gap_s() > LONGEST_GAP_S:
                self._is_paused = True
            self._last_tick_s = self._clock.monotonic_s()
            return self._is_paused

    def make_good(self) -> None:
        """Note that the state is level again."""
        with self._lock:
            self._is_paused = False

    def _gap_s(self) -> float:
        return self._clock.monotonic_s() - self._last_tick_s
