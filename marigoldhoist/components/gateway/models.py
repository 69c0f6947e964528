"""Models of calls, forwarded requests and response metadata."""

import dataclasses
from collections.abc import Iterable
from typing import Protocol

from marigoldhoist.components.directory.announcements import (
    NO_ANNOUNCEMENT,
    Announcement,
)
from marigoldhoist.components.gateway.connection import HttpConnection
from marigoldhoist.components.gateway.messages import Header, MessageHead
from marigoldhoist.core.body import Body
from marigoldhoist.core.errors import RequestFailure


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A prompt segment that a replica's prefix cache may hold."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Model, token counts and cacheable parts of a generation request.

    The last part is unique to the request.
    """

    model: str
    tokens_in: int = 0
    tokens_out: int = 0
    parts: tuple[PromptPart, ...] = ()


@dataclasses.dataclass(slots=True)
class Call:
    """One caller's request.

    `arrived_s` is the boot time at which its head arrived. `headers` are
    forwarded to the replica unchanged. `resume_after` is the number of the
    last stream event that the caller has already received. `connections` are
    those that the call was sent on.
    """

    request_id: str
    method: str
    target: bytes
    authority: str
    path: str
    headers: list[Header]
    arrived_s: float
    key: str = ''
    time_allowed_s: float | None = None
    resume_after: int = 0
    prompt: Prompt | None = None
    session: str = ''
    body: Body = dataclasses.field(default_factory=Body)
    connections: list[HttpConnection] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingContext:
    """Data that the daemon adds to a call that it forwards to a replica.

    `expected_prefill_s` is the expected time to the first event without other
    prompts at the replica, in seconds, None if it is unknown.
    """

    replica_host: str
    time_left_s: float
    workspace: str = ''
    model: str = ''
    resume_after: int = 0
    expected_prefill_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata in the headers of a replica's response.

    `is_misdirected` means that another replica answered than the request was
    addressed to. `load` holds the running and waiting requests and the slots.
    `confidence` is the model's own rating of the response, 0 to 100.
    """

    request_id: str
    is_signed: bool
    was_not_run: bool = False
    is_misdirected: bool = False
    has_content_encoding: bool = False
    load: tuple[int, int, int] | None = None
    announcement: Announcement = NO_ANNOUNCEMENT
    confidence: int | None = None
    idle_timeout_s: float | None = None

    @property
    def is_refusal(self) -> bool:
        """Return whether the response says that the request did not run."""
        return self.was_not_run or self.is_misdirected


class Dialect(Protocol):
    """Translates between HTTP messages of the platform and gateway models."""

    def parse_call(
        self, head: MessageHead, now_s: float
    ) -> Call | RequestFailure:
        """Return the parsed call, or a failure if the head is invalid."""

    def request_head_bytes(
        self, call: Call, forwarding: ForwardingContext
    ) -> bytes:
        """Return the serialized head of the request for a replica."""

    def handover_head_bytes(
        self,
        call: Call,
        forwarding: ForwardingContext,
        handover_headers: list[Header],
    ) -> bytes:
        """Return the serialized head of the request for another daemon.

        It has what the caller sent, with the time that is left and the last
        event that the caller received.
        """

    def parse_response_metadata(self, head: MessageHead) -> ResponseMetadata:
        """Return the metadata of a replica's response."""

    def response_headers(self, head: MessageHead) -> list[Header]:
        """Return the response headers that are forwarded to callers."""

    def failure_response(
        self,
        call_id: str,
        failure: RequestFailure,
        extra_headers: Iterable[Header] = (),
    ) -> bytes:
        """Return the serialized response for a failure of the daemon."""
