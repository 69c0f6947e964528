"""The audit trail: what became of each change to the table."""

import dataclasses
from typing import Literal

import msgspec

Outcome = Literal['accepted', 'rejected']


@dataclasses.dataclass(frozen=True, slots=True)
class AuditRow:
    """A row before a change, and as the change would have it."""

    key: str
    before: msgspec.Raw
    after: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """What became of one change."""

    offset: int
    time_ms: int
    record_id: str
    author: str
    keys: tuple[str, ...]
    outcome: Outcome
    reason: str = ''
    winner: int | None = None
    rows: tuple[AuditRow, ...] = ()
    note: str = ''
