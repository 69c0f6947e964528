"""Progress of one call."""

import dataclasses
from typing import Final

from marigoldhoist.components.gateway.models import Call
from marigoldhoist.components.gateway.request_log import RequestLog
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import LogEvent
from marigoldhoist.core.verdict import Verdict

# A prompt with this many tokens takes about twice as long to the response head
# as a short one.
TOKENS_PER_BASE_TIME: Final = 4000
# Deadline of calls for which neither the caller nor the route sets one.
DEFAULT_TIMEOUT_S: Final = 30.0


@dataclasses.dataclass(slots=True)
class CallProgress:
    """State of a call across its attempts.

    `last_host` is the replica of the last attempt, `tried_hosts` are those of
    all attempts, `unreachable_hosts` those to which the connect failed and
    `too_large_hosts` those whose answers were larger than allowed.
    `last_event_id` is the number of the last stream event that the caller has
    received. `verdict` says whether any replica may have run the call.
    `tried_peers` are the daemons that the call was handed to; a call that
    `is_handed_over` was handed to this one.
    `first_event_s` is the time from the call's arrival to the first event.
    """

    call: Call
    log: RequestLog
    last_event_id: int = 0
    service: str = ''
    route_name: str = ''
    model: str = ''
    route_timeout_s: float | None = None
    tried_hosts: set[str] = dataclasses.field(default_factory=set)
    unreachable_hosts: set[str] = dataclasses.field(default_factory=set)
    too_large_hosts: set[str] = dataclasses.field(default_factory=set)
    tried_peers: set[str] = dataclasses.field(default_factory=set)
    is_handed_over: bool = False
    last_host: str = ''
    send_count: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    has_stream_started: bool = False
    first_event_s: float | None = None
    last_failure_reason: str = ''
    serving_host: str = ''
    _answered_workloads: set[str] = dataclasses.field(default_factory=set)

    @property
    def elapsed_s(self) -> float:
        """Return the seconds since the call arrived."""
        return SYSTEM_CLOCK.boottime_s() - self.call.arrived_s

    @property
    def time_left_s(self) -> float:
        """Return the seconds left until the earlier deadline.

        Both the caller and the route may set one.
        """
        times = (self.call.time_allowed_s, self.route_timeout_s)
        bounds = [allowed for allowed in times if allowed is not None]
        return min(bounds, default=DEFAULT_TIMEOUT_S) - self.elapsed_s

    @property
    def expected_relative_time(self) -> float:
        """Return the expected time to the head relative to a short prompt."""
        tokens = self.call.prompt.tokens_in if self.call.prompt else 0
        return 1 + tokens / TOKENS_PER_BASE_TIME

    @property
    def workload(self) -> str:
        """Return the class of calls whose latencies are comparable."""
        return f'{self.route_name}/{self.model}'

    def take_first_answer(self) -> bool:
        """Return whether the call had no answer of its workload before.

        A call that fails at one replica often fails at the next one for a
        reason of its own, so its further answers say little about a version.
        """
        is_first = self.workload not in self._answered_workloads
        self._answered_workloads.add(self.workload)
        return is_first

    def note(self, event: LogEvent, **fields: object) -> None:
        """Log an event of the call."""
        self.log.note(
            event,
            request_id=self.call.request_id,
            route=self.route_name,
            elapsed_s=round(self.elapsed_s, 4),
            **fields,
        )
