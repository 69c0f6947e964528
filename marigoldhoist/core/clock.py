"""Clocks that tests can replace."""

import time
from typing import Protocol

from marigoldhoist.core.const import MS_PER_S


class Clock(Protocol):
    """Wall and monotonic time."""

    def now_ms(self) -> int:
        """Return wall-clock time in milliseconds since 1970."""

    def monotonic_s(self) -> float:
        """Return monotonic time in seconds."""


class SystemClock:
    """The machine's clocks."""

    def now_ms(self) -> int:
        """Return wall-clock time in milliseconds since 1970."""
        return int(time.time() * MS_PER_S)

    def monotonic_s(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def boottime_s(self) -> float:
        """Return monotonic time that also counts suspensions, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


SYSTEM_CLOCK = SystemClock()
