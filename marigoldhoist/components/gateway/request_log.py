"""Rate-limited log of the events of each request.

Below the rate limit, lines are written at once. Above it, the lines of a
request are held until it ends: a failed request writes its newest held lines,
a served request drops them. Dropped lines are counted.
"""

import itertools
from typing import Any, Final

from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import LogEvent, emit
from marigoldhoist.core.line_sink import LineRateLimiter

# A few times the rate of a busy daemon.
LINES_PER_S: Final = 250.0
BURST_LINES: Final = 500.0
# Held lines that a failed request writes; older ones are dropped.
MAX_HELD_LINES: Final = 40


class RequestLogLimiter:
    """Rate limit and drop count shared by the requests of a daemon."""

    def __init__(self) -> None:
        self.budget = LineRateLimiter(LINES_PER_S, BURST_LINES)
        self.dropped = 0


class RequestLog:
    """Log lines of one request."""

    def __init__(self, limiter: RequestLogLimiter) -> None:
        self._limiter = limiter
        self._held: list[tuple[LogEvent, dict[str, Any]]] = []

    def note(self, event: LogEvent, **fields: Any) -> None:
        """Write a line, or hold it until the request ends."""
        if self._limiter.budget.try_take(SYSTEM_CLOCK.monotonic_s()):
            emit(event, **fields)
        else:
            self._held.append((event, fields))

    def flush_held(self) -> None:
        """Write the newest held lines; drop and count the others."""
        skipped = max(0, len(self._held) - MAX_HELD_LINES)
        for event, fields in itertools.islice(self._held, skipped, None):
            emit(event, is_held_back=True, **fields)
        self._limiter.dropped += skipped
        self._held.clear()

    def discard_held(self) -> None:
        """Drop and count the held lines."""
        self._limiter.dropped += len(self._held)
        self._held.clear()
