"""Measurement of the mean interval between the first stream events."""

import pytest

from marigoldhoist.components.gateway.event_interval import (
    MEASURED_INTERVALS,
    EventIntervalMeter,
)


class TestEventInterval:
    """A stream with enough events yields one measurement."""

    def test_is_reported_once(self) -> None:
        meter = EventIntervalMeter()
        measured = [
            meter.record_event(1 + 0.05 * number)
            for number in range(MEASURED_INTERVALS * 3)
        ]
        intervals_s = [
            interval_s for interval_s in measured if interval_s is not None
        ]
        assert intervals_s == [pytest.approx(0.05)]

    def test_short_stream_reports_none(self) -> None:
        meter = EventIntervalMeter()
        measured = {
            meter.record_event(number) for number in range(MEASURED_INTERVALS)
        }
        assert measured == {None}
