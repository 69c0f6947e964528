"""A caller's request and the response to it, as components pass them on."""

import dataclasses
from collections.abc import Iterator

from marigoldhoist.core.clock import SYSTEM_CLOCK


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request from an authenticated caller.

    `target` names a model or a plain service. `deadline_s` is a time in
    seconds on the monotonic clock.
    """

    workspace: str
    request_id: str
    target: str
    body: bytes
    deadline_s: float
    session: str = ''
    task: str = ''
    session_token: str = ''
    quality_target: float = 0
    is_streamed: bool = False
    is_repeatable: bool = True
    method: str = 'POST'
    path: str = ''
    content_type: str = 'application/json'

    @property
    def time_left_s(self) -> float:
        """Return the seconds until the deadline, or zero once it has passed."""
        return max(0, self.deadline_s - SYSTEM_CLOCK.monotonic_s())


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResponse:
    """A response whose body is streamed while it is iterated.

    `serving` is `model/version` or the name of the plain service. Closing the
    body iterator early ends the exchange with the upstream.
    """

    status: int
    content_type: str
    serving: str
    body: Iterator[bytes]
    session_token: str = ''
