"""Admission of requests during a graceful stop.

The load balancer keeps sending callers to a stopping daemon until it detects
the stop, and for longer if most daemons of a failure domain stop in turn.
Requests that cannot be completed in time are refused at once, so that the
caller retries at another daemon.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator
from typing import Final

from marigoldhoist.components.gateway.const import BALANCER_DETECTION_S

# Time in which nearly every plain call completes.
PLAIN_CALL_DURATION_S: Final = 1.5
# Time before the exit in which calls that have no answer yet get a failure.
LAST_ANSWERS_S: Final = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownProgress:
    """Seconds since the stop began and seconds left until the exit."""

    elapsed_s: float
    time_left_s: float

    def accepts(
        self,
        *,
        is_stream: bool,
        is_repeatable: bool = True,
        allowed_s: float = 0,
    ) -> bool:
        """Return whether a new request is likely to complete in time.

        A plain call may take up to `allowed_s`. One that might not end in time
        is accepted only while the balancer still sends calls here, and only if
        it may be repeated.
        """
        is_early = self.elapsed_s < BALANCER_DETECTION_S
        if is_stream:
            return is_early
        if self.time_left_s <= PLAIN_CALL_DURATION_S:
            return False
        ends_in_time = allowed_s <= self.answer_time_left_s
        return ends_in_time or (is_repeatable and is_early)

    @property
    def answer_time_left_s(self) -> float:
        """Return the seconds in which an answer can still be written."""
        return self.time_left_s - LAST_ANSWERS_S


class CallTimeouts:
    """Timeouts of the plain calls in flight, which a stop brings forward.

    A call that is not answered at the end of the stop gets a failure that says
    whether it may have run, in place of a closed connection.
    """

    def __init__(self) -> None:
        self._timeouts: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def within(self, time_left_s: float) -> AsyncIterator[None]:
        """Raise TimeoutError in the body after a time, or when a stop ends."""
        async with asyncio.timeout(time_left_s) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def end_within(self, time_left_s: float) -> int:
        """Let the calls in flight time out in so many seconds at the latest.

        Return how many have timed out already, but have not ended yet. Their
        timeouts can no longer be rescheduled.
        """
        end_s = asyncio.get_running_loop().time() + time_left_s
        pending = [item for item in self._timeouts if not item.expired()]
        for timeout in pending:
            timeout.reschedule(min(timeout.when() or end_s, end_s))
        return len(self._timeouts) - len(pending)
