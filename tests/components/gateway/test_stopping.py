"""Which requests a daemon still takes after it was told to stop."""

import pytest

from marigoldhoist.components.gateway.const import BALANCER_NOTICE_S
from marigoldhoist.components.gateway.stopping import PLAIN_CALL_S, StopClock


class TestStopClock:
    """The decision by the time since the stop and the time left."""

    @pytest.mark.parametrize(
        ('since_s', 'left_s', 'stream', 'plain'),
        (
            (0, 8, True, True),
            (BALANCER_NOTICE_S - 0.1, 5, True, True),
            (BALANCER_NOTICE_S + 0.1, 5, False, True),
            (7, PLAIN_CALL_S - 0.1, False, False),
        ),
    )
    def test_takes_what_can_be_finished(
        self, since_s: float, left_s: float, stream: bool, plain: bool
    ) -> None:
        clock = StopClock(since_s, left_s)
        assert clock.takes(is_stream=True) is stream
        assert clock.takes(is_stream=False) is plain
