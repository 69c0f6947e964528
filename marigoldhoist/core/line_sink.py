"""Write log lines without ever waiting for who reads them."""

import os
from typing import Final

# The longest write that a pipe takes whole or not at all, in bytes.
MAX_LINE_BYTES: Final = 4096
CUT_MARK: Final = b'..."\n'


class LineSink:
    """A file-like writer to a descriptor that drops what does not fit.

    The descriptor is made non-blocking; a line that it does not take at once
    is dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write one line, cut to the longest that is written whole."""
        line = text.encode('utf-8', 'replace')
        if len(line) > MAX_LINE_BYTES:
            line = line[: MAX_LINE_BYTES - len(CUT_MARK)] + CUT_MARK
        try:
            os.write(self._descriptor, line)
        except OSError:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing, as each line is written at once."""


class LineRateLimiter:
    """How many lines may be written, as a bucket that fills with time."""

    def __init__(self, lines_per_s: float, burst: float) -> None:
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._level = burst
        self._filled_s: float = 0

    def try_take(self, now_s: float) -> bool:
        """Take one line, or tell that too many were written."""
        passed_s = max(0, now_s - self._filled_s)
        self._filled_s = now_s
        filled = self._level + passed_s * self._lines_per_s
        self._level = min(self._burst, filled)
        if self._level < 1:
            return False
        self._level -= 1
        return True
