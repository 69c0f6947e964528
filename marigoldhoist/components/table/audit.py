"""The audit trail: the outcome of each change to the table."""

import dataclasses
from typing import Literal

import msgspec

Outcome = Literal['accepted', 'rejected']


@dataclasses.dataclass(frozen=True, slots=True)
class AuditRow:
    """JSON of a row before a change, and the content the change asked for.

    `before` is `null` if there was no row, `after` if the change deletes it.
    """

    key: str
    before: msgspec.Raw
    after: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """Outcome of one change, with its author and the rows it edits.

    `offset` and `time_ms` (since 1970) are those of the log entry. `winner`
    is the revision of the stored row if the change lost a write conflict.
    """

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
