"""Measure how fast a replica goes on with a stream."""

from typing import Final

# Gaps between events that make a measure; fewer vary with chance.
MEASURED_GAPS: Final = 8


class PaceMeter:
    """The mean seconds between the first events of a stream.

    Answers slow replicas of a new version: its streams may begin in time, and
    only the events that follow show that it is slow.
    """

    def __init__(self) -> None:
        self._first_s: float = 0
        self._events = 0

    def note_event(self, waited_s: float) -> float | None:
        """Take in an event and the time waited for all so far.

        Return the seconds between events once enough are known, at that
        event only.
        """
        self._events += 1
        if self._events == 1:
            self._first_s = waited_s
        if self._events == MEASURED_GAPS + 1:
            return (waited_s - self._first_s) / MEASURED_GAPS
        return None
