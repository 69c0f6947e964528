"""The pace of a stream is the mean time between its first events."""

import pytest

from marigoldhoist.components.gateway.pace import MEASURED_GAPS, PaceMeter


class TestPace:
    """One measure for each stream that is long enough."""

    def test_is_told_once(self) -> None:
        meter = PaceMeter()
        told = [
            meter.note_event(1 + 0.05 * number)
            for number in range(MEASURED_GAPS * 3)
        ]
        measures = [pace_s for pace_s in told if pace_s is not None]
        assert measures == [pytest.approx(0.05)]

    def test_short_stream_has_none(self) -> None:
        meter = PaceMeter()
        told = {meter.note_event(number) for number in range(MEASURED_GAPS)}
        assert told == {None}
