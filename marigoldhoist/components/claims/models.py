"""Claims and their outcomes, as they are written to the log."""

import dataclasses

import msgspec

from marigoldhoist.core.verdict import Verdict


class ClaimBody(msgspec.Struct, frozen=True):
    """A host wants to run an order; the record's id names the claim."""

    workspace: str
    request_id: str
    host: str


class OutcomeBody(msgspec.Struct, frozen=True):
    """How a claim ended; a small whole answer is kept for duplicates."""

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
class OrderKey:
    """What makes two orders the same."""

    workspace: str
    request_id: str


class KeptOrder(msgspec.Struct, frozen=True):
    """One order's state in a snapshot."""

    workspace: str
    request_id: str
    holder: str
    outcome: OutcomeBody | None
    spent_ids: tuple[str, ...]
    touched_ms: int


class KeptClaims(msgspec.Struct, frozen=True):
    """Every order's state in a snapshot."""

    covered_from_ms: int
    newest_ms: int
    next_offset: int
    orders: tuple[KeptOrder, ...]


class ClaimStatus(msgspec.Struct, frozen=True):
    """Orders known, and claims and outcomes not on the log yet."""

    orders: int
    covered_from_ms: int
    unshipped: int
