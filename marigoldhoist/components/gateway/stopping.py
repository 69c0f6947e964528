"""Decide which requests a daemon that was told to stop still takes.

Answers the load of a planned stop: the balancer goes on sending callers here
until it has noticed, and for longer where most of a failure domain's daemons
stop in turn. What cannot be finished is refused at once, so that the caller
asks another daemon.
"""

import dataclasses
from typing import Final

from marigoldhoist.components.gateway.const import BALANCER_NOTICE_S

# Long enough for nearly every plain call.
PLAIN_CALL_S: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class StopClock:
    """How long ago the stop began, and how long this process may run on."""

    since_s: float
    left_s: float

    def takes(self, *, is_stream: bool) -> bool:
        """Tell whether a new request is likely to be finished in time."""
        if is_stream:
            return self.since_s < BALANCER_NOTICE_S
        return self.left_s > PLAIN_CALL_S
