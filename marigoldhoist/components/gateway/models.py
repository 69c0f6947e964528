"""A caller's request, an order to a replica, and the signs on its answer."""

import dataclasses
from typing import Protocol

from marigoldhoist.components.gateway.messages import Header, MessageHead
from marigoldhoist.core.errors import RequestFailure


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that replicas may hold in their prefix cache."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What a generation asks for; the last part is the request's own."""

    model: str
    tokens_in: int = 0
    tokens_out: int = 0
    parts: tuple[PromptPart, ...] = ()


@dataclasses.dataclass(slots=True)
class Call:
    """One caller's request; `arrived_s` is the boot time of its head.

    `headers` are those that go on to a replica as they came. `resume_after`
    is the last event of the stream that the caller has already.
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
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingContext:
    """What the daemon adds to a call when it sends it to a replica.

    `expected_prefill_s` is the expected time that the replica reads the prompt.
    """

    replica_host: str
    time_left_s: float
    workspace: str = ''
    model: str = ''
    resume_after: int = 0
    expected_prefill_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What a replica's answer says besides its body.

    `confidence` is the model's own opinion of the answer, 0 to 100. The
    load is the running and waiting requests and the slots.
    """

    request_id: str
    is_signed: bool
    was_not_run: bool = False
    is_misdirected: bool = False
    has_content_encoding: bool = False
    load: tuple[int, int, int] | None = None
    confidence: int | None = None
    idle_timeout_s: float | None = None


class Dialect(Protocol):
    """Translates between the platform's messages and the product's types."""

    def parse_call(
        self, head: MessageHead, now_s: float
    ) -> Call | RequestFailure:
        """Return the caller's request, or why it cannot be understood."""

    def request_bytes(self, call: Call, forwarding: ForwardingContext) -> bytes:
        """Return the request as a replica gets it."""

    def parse_response_metadata(self, head: MessageHead) -> ResponseMetadata:
        """Return the signs on a replica's answer."""

    def response_headers(self, head: MessageHead) -> list[Header]:
        """Return the headers of an answer that callers get."""

    def failure_response(self, call_id: str, failure: RequestFailure) -> bytes:
        """Return a refusal or failure of the daemon's own."""
