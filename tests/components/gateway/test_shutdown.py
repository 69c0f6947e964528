"""Admission of requests during a graceful stop."""

import pytest

from marigoldhoist.components.gateway.const import BALANCER_DETECTION_S
from marigoldhoist.components.gateway.shutdown import (
    PLAIN_CALL_DURATION_S,
    ShutdownProgress,
)


class TestShutdownProgress:
    """Admission by kind of route, elapsed time and time left."""

    @pytest.mark.parametrize(
        ('elapsed_s', 'time_left_s', 'stream', 'plain'),
        (
            (0, 8, True, True),
            (BALANCER_DETECTION_S - 0.1, 5, True, True),
            (BALANCER_DETECTION_S + 0.1, 5, False, True),
            (7, PLAIN_CALL_DURATION_S - 0.1, False, False),
        ),
    )
    def test_accepts_requests_that_can_complete(
        self, elapsed_s: float, time_left_s: float, stream: bool, plain: bool
    ) -> None:
        progress = ShutdownProgress(elapsed_s, time_left_s)
        assert progress.accepts(is_stream=True) is stream
        assert progress.accepts(is_stream=False) is plain

    @pytest.mark.parametrize(
        ('elapsed_s', 'allowed_s', 'unsafe', 'safe'),
        (
            (1, 2, True, True),
            (1, 20, False, True),
            (BALANCER_DETECTION_S + 0.1, 2, True, True),
            (BALANCER_DETECTION_S + 0.1, 20, False, False),
        ),
    )
    def test_accepts_late_only_what_ends_in_time(
        self, elapsed_s: float, allowed_s: float, unsafe: bool, safe: bool
    ) -> None:
        progress = ShutdownProgress(elapsed_s, 5)
        for is_repeatable, expected in ((False, unsafe), (True, safe)):
            is_accepted = progress.accepts(
                is_stream=False,
                is_repeatable=is_repeatable,
                allowed_s=allowed_s,
            )
            assert is_accepted is expected
