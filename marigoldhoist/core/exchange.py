"""A request and its answer, as components hand them on."""

import dataclasses
from collections.abc import Iterator

from marigoldhoist.core.clock import SYSTEM_CLOCK


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request whose credentials were checked.

    The target is a model or a plain service; the deadline is on the
    monotonic clock, in seconds.
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
        """Return the seconds left until the deadline, at least zero."""
        return max(0, self.deadline_s - SYSTEM_CLOCK.monotonic_s())


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResponse:
    """An answer whose body is still to be read; closing the body ends it."""

    status: int
    content_type: str
    serving: str
    body: Iterator[bytes]
    session_token: str = ''
