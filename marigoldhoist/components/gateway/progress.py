"""How far one call is."""

import dataclasses
from typing import Final

from marigoldhoist.components.gateway.models import Call
from marigoldhoist.components.gateway.request_log import RequestLog
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import LogEvent
from marigoldhoist.core.verdict import Verdict

# Prompts of this size take about twice as long to the head as short ones.
TOKENS_PER_USUAL_S: Final = 4000
# Where neither the caller nor the route bounds the time.
DEFAULT_TIME_S: Final = 30.0


@dataclasses.dataclass(slots=True)
class CallProgress:
    """What has happened to a call so far.

    `asked` is the replica that was asked last, `tried` all that were asked,
    and `unreached` those to which no connection could be opened.
    `last_event` is the last event of a stream that the caller has, and
    `verdict` whether any replica may have run the call.
    """

    call: Call
    log: RequestLog
    last_event: int = 0
    service: str = ''
    route_name: str = ''
    model: str = ''
    route_timeout_s: float | None = None
    tried: set[str] = dataclasses.field(default_factory=set)
    unreached: set[str] = dataclasses.field(default_factory=set)
    asked: str = ''
    sends: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    has_begun: bool = False
    first_s: float | None = None
    last_reason: str = ''
    served_by: str = ''

    @property
    def elapsed_s(self) -> float:
        """Return the seconds since the call arrived."""
        return SYSTEM_CLOCK.boottime_s() - self.call.arrived_s

    @property
    def left_s(self) -> float:
        """Return the seconds left of the caller's and the route's time."""
        times = (self.call.time_allowed_s, self.route_timeout_s)
        bounds = [allowed for allowed in times if allowed is not None]
        return min(bounds, default=DEFAULT_TIME_S) - self.elapsed_s

    @property
    def usual_s(self) -> float:
        """Return the relative time to the head that the size explains."""
        tokens = self.call.prompt.tokens_in if self.call.prompt else 0
        return 1 + tokens / TOKENS_PER_USUAL_S

    @property
    def work(self) -> str:
        """Return the kind of work that times are compared within."""
        return f'{self.route_name}/{self.model}'

    def note(self, event: LogEvent, **fields: object) -> None:
        """Log a decision on the call."""
        self.log.note(
            event,
            request_id=self.call.request_id,
            route=self.route_name,
            elapsed_s=round(self.elapsed_s, 4),
            **fields,
        )
