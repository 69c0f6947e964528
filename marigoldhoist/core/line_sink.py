"""Write log lines without blocking on a slow reader, and limit their rate."""

import os
from typing import Final

# PIPE_BUF on Linux, in bytes: a pipe takes a write of up to this size whole or
# not at all.
MAX_LINE_BYTES: Final = 4096
# Ends a truncated line; the quote closes the JSON string that was cut.
TRUNCATION_SUFFIX: Final = b'..."\n'


class LineSink:
    """A file-like writer to a descriptor that never blocks.

    The descriptor is made non-blocking. A line that cannot be written at once
    is dropped and counted in `dropped`.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write one line, truncated to MAX_LINE_BYTES; return len(text)."""
        line = text.encode('utf-8', 'replace')
        if len(line) > MAX_LINE_BYTES:
            line = (
                line[: MAX_LINE_BYTES - len(TRUNCATION_SUFFIX)]
                + TRUNCATION_SUFFIX
            )
        try:
            os.write(self._descriptor, line)
        except OSError:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing, as lines are not buffered."""


class LineRateLimiter:
    """A token bucket that limits the rate of log lines."""

    def __init__(self, lines_per_s: float, burst: float) -> None:
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at_s: float = 0

    def try_take(self, now_s: float) -> bool:
        """Take the token for one line; return False if none is left."""
        elapsed_s = max(0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        refilled = self._tokens + elapsed_s * self._lines_per_s
        self._tokens = min(self._burst, refilled)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
