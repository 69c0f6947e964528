"""Measure the interval between the events of a stream."""

from typing import Final

# Intervals that are averaged; the mean of fewer is too noisy.
MEASURED_INTERVALS: Final = 8


class EventIntervalMeter:
    """Measures the mean seconds between the first events of a stream.

    Detects a new replica version whose streams start in time but proceed
    slowly, which the time to the first event does not show.
    """

    def __init__(self) -> None:
        self._first_event_s: float = 0
        self._event_count = 0

    def record_event(self, waited_s: float) -> float | None:
        """Record an event and the seconds waited for the stream so far.

        Return the mean interval in seconds once, at the event that completes
        the measurement, else None.
        """
        self._event_count += 1
        if self._event_count == 1:
            self._first_event_s = waited_s
        if self._event_count == MEASURED_INTERVALS + 1:
            return (waited_s - self._first_event_s) / MEASURED_INTERVALS
        return None
