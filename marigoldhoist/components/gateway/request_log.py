"""Log the decisions on one request, within bounds.

While few lines are written each goes out at once. Above that, a request's
lines are held back until it ends: those of a failed one are all written,
those of a served one are dropped and counted.
"""

import itertools
from typing import Any, Final

from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import LogEvent, emit
from marigoldhoist.core.line_sink import LineBudget

# A few times what a busy daemon writes.
LINES_PER_S: Final = 250.0
BURST_LINES: Final = 500.0
# A request whose lines exceed this keeps the newest.
MOST_HELD: Final = 40


class RequestLogLimiter:
    """The bounds that the requests of a daemon share."""

    def __init__(self) -> None:
        self.budget = LineBudget(LINES_PER_S, BURST_LINES)
        self.dropped = 0


class RequestLog:
    """The lines of one request."""

    def __init__(self, logs: RequestLogLimiter) -> None:
        self._logs = logs
        self._held: list[tuple[LogEvent, dict[str, Any]]] = []

    def note(self, event: LogEvent, **fields: Any) -> None:
        """Write a line, or hold it back until the request ends."""
        if self._logs.budget.try_take(SYSTEM_CLOCK.monotonic_s()):
            emit(event, **fields)
        else:
            self._held.append((event, fields))

    def flush_held(self) -> None:
        """Write what was held back."""
        skipped = max(0, len(self._held) - MOST_HELD)
        for event, fields in itertools.islice(self._held, skipped, None):
            emit(event, is_held_back=True, **fields)
        self._logs.dropped += skipped
        self._held.clear()

    def discard_held(self) -> None:
        """Drop what was held back."""
        self._logs.dropped += len(self._held)
        self._held.clear()
