"""Clock interface, so that tests can inject a fake, and system clock."""

import time
from typing import Protocol

from marigoldhoist.core.const import MS_PER_S


class Clock(Protocol):
    """Source of wall-clock and monotonic time."""

    def now_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""

    def monotonic_s(self) -> float:
        """Return monotonic time in seconds."""


class SystemClock:
    """Clock that reads the operating system's clocks."""

    def now_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return int(time.time() * MS_PER_S)

    def monotonic_s(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def boottime_s(self) -> float:
        """Return monotonic time in seconds, including time suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


SYSTEM_CLOCK = SystemClock()
