"""Claims and outcomes as they are logged and kept in snapshots.

A non-repeatable request is called an order in encoded names and messages.
"""

import dataclasses

import msgspec

from marigoldhoist.core.verdict import Verdict


class ClaimBody(msgspec.Struct, frozen=True):
    """A host's claim to run a request; the claim id is the record's id."""

    workspace: str
    request_id: str
    host: str


class OutcomeBody(msgspec.Struct, frozen=True):
    """The outcome of a claim.

    If `has_answer` is set, it contains the complete response, which is
    returned to duplicate requests. Only small responses are recorded.
    """

    workspace: str
    request_id: str
    claim_id: str
    verdict: Verdict
    status: int = 0
    serving: str = ''
    content_type: str = ''
    body: bytes = b''
    has_answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """Identify a request; two requests with one key are duplicates."""

    workspace: str
    request_id: str


class ClaimEntry(msgspec.Struct, frozen=True):
    """The claim state of one request in a snapshot."""

    workspace: str
    request_id: str
    holder: str
    outcome: OutcomeBody | None
    spent_ids: tuple[str, ...]
    touched_ms: int


class ClaimSnapshot(msgspec.Struct, frozen=True):
    """The state of the claim fold in a snapshot; times are log times."""

    covered_from_ms: int
    newest_ms: int
    next_offset: int
    orders: tuple[ClaimEntry, ...]


class ClaimStatus(msgspec.Struct, frozen=True):
    """The claim counts that operators see.

    `orders` is the number of requests with a claim state, `unshipped` that
    of outcomes that are not on the log yet. Claims logged before
    `covered_from_ms` were not read; 0 if all were.
    """

    orders: int
    covered_from_ms: int
    unshipped: int
