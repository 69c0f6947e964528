"""Admission of requests during a graceful stop.

The load balancer keeps sending callers to a stopping daemon until it detects
the stop, and for longer if most daemons of a failure domain stop in turn.
Requests that cannot be completed in time are refused at once, so that the
caller retries at another daemon.
"""

import dataclasses
from typing import Final

from marigoldhoist.components.gateway.const import BALANCER_DETECTION_S

# Time in which nearly every plain call completes.
PLAIN_CALL_DURATION_S: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownProgress:
    """Seconds since the stop began and seconds left until the exit."""

    elapsed_s: float
    time_left_s: float

    def accepts(self, *, is_stream: bool) -> bool:
        """Return whether a new request is likely to complete in time."""
        if is_stream:
            return self.elapsed_s < BALANCER_DETECTION_S
        return self.time_left_s > PLAIN_CALL_DURATION_S
