"""Admission of requests during a graceful stop."""

import asyncio

import pytest

from marigoldhoist.components.gateway.const import BALANCER_DETECTION_S
from marigoldhoist.components.gateway.shutdown import (
    PLAIN_CALL_DURATION_S,
    CallTimeouts,
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


class CallWithSlowCleanup:
    """A call that goes on cleaning up after its timeout."""

    def __init__(self, timeouts: CallTimeouts, time_left_s: float) -> None:
        self._timeouts = timeouts
        self._time_left_s = time_left_s
        self.is_timed_out = asyncio.Event()
        self.may_end = asyncio.Event()

    async def run(self) -> str:
        """Return how the call ended."""
        try:
            async with self._timeouts.within(self._time_left_s):
                await self._wait_for_answer()
        except TimeoutError:
            return 'timed out'
        return 'answered'

    async def _wait_for_answer(self) -> None:
        try:
            await asyncio.Event().wait()
        finally:
            self.is_timed_out.set()
            await self.may_end.wait()


class TestCallTimeouts:
    """Calls in flight end before the stop does."""

    def test_stop_goes_on_while_a_call_times_out(self) -> None:
        # Guards against a stop that ends the process at once, with all calls.
        async def scenario() -> tuple[int, list[str]]:
            timeouts = CallTimeouts()
            overdue = CallWithSlowCleanup(timeouts, 0)
            in_flight = CallWithSlowCleanup(timeouts, 60)
            in_flight.may_end.set()
            calls = [
                asyncio.create_task(call.run()) for call in (overdue, in_flight)
            ]
            await overdue.is_timed_out.wait()
            timed_out = timeouts.end_within(0)
            overdue.may_end.set()
            async with asyncio.timeout(10):
                return timed_out, await asyncio.gather(*calls)

        assert asyncio.run(scenario()) == (1, ['timed out', 'timed out'])
