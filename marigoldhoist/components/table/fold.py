"""Fold table changes from the log into the table.

Every daemon folds the same entries in the same order and so accepts and
rejects the same changes.
"""

import collections
import dataclasses
from collections.abc import Mapping

import msgspec

from marigoldhoist.components.platform_log.models import LogEntry
from marigoldhoist.components.table.audit import AuditEntry, AuditRow
from marigoldhoist.components.table.const import (
    AUDIT_ENTRIES,
    CHANGE_KIND,
    NO_REVISION,
)
from marigoldhoist.components.table.dump import dump_table, load_table
from marigoldhoist.components.table.errors import InvalidTableError
from marigoldhoist.components.table.models import (
    RowEdit,
    StoredRow,
    TableChange,
)
from marigoldhoist.components.table.state import TableState
from marigoldhoist.components.table.tombstones import (
    buried,
    check_withdrawals,
)
from marigoldhoist.components.table.validation import check_table, decode_row


class LostRaceError(InvalidTableError):
    """Another change wrote the row after this change's author read it."""

    def __init__(self, key: str, winner: int) -> None:
        super().__init__(f'{key} was changed at offset {winner}')
        self.winner = winner


class TableFold:
    """The table, and the audit trail of the changes folded into it."""

    def __init__(self) -> None:
        self.state = TableState()
        self.audit: collections.deque[AuditEntry] = collections.deque(
            maxlen=AUDIT_ENTRIES
        )
        self._audit_by_record_id: dict[str, AuditEntry] = {}

    def apply(self, entry: LogEntry) -> None:
        """Fold one entry; a second copy of a record changes nothing."""
        if entry.record.kind != CHANGE_KIND:
            return
        if entry.record.id in self._audit_by_record_id:
            return
        self._record(self._judge(entry))

    def outcome_of(self, record_id: str) -> AuditEntry | None:
        """Return what became of a change, or none if it was not folded."""
        return self._audit_by_record_id.get(record_id)

    def dump(self) -> msgspec.Raw:
        """Return the table and its audit trail for a snapshot."""
        return dump_table(self.state, tuple(self.audit))

    def restore(self, dumped: msgspec.Raw) -> None:
        """Continue from a snapshot's table and audit trail."""
        state, trail = load_table(dumped)
        self.state = state
        self.audit.clear()
        self.audit.extend(trail)
        self._audit_by_record_id = {
            audited.record_id: audited for audited in trail
        }

    def _judge(self, entry: LogEntry) -> AuditEntry:
        try:
            change = msgspec.json.decode(entry.record.body, type=TableChange)
        except msgspec.MsgspecError as error:
            return _unreadable(entry, str(error))
        audited = _audit(entry, change, before=self.state.rows_by_key)
        try:
            self.state = changed_state(self.state, change, entry.offset)
        except LostRaceError as lost:
            return _rejected(audited, str(lost), lost.winner)
        except InvalidTableError as error:
            return _rejected(audited, str(error))
        return audited

    def _record(self, audited: AuditEntry) -> None:
        if len(self.audit) == AUDIT_ENTRIES:
            expired = self.audit[0].record_id
            self._audit_by_record_id.pop(expired, None)
        self.audit.append(audited)
        self._audit_by_record_id[audited.record_id] = audited


def changed_state(
    state: TableState, change: TableChange, offset: int
) -> TableState:
    """Return the table after a change; InvalidTableError if it is refused."""
    rows_by_key = dict(state.rows_by_key)
    for edit in change.edits:
        _check_base(rows_by_key.get(edit.key), edit)
        row = decode_row(edit)
        if row is None:
            rows_by_key.pop(edit.key, None)
        else:
            rows_by_key[edit.key] = StoredRow(offset, row)
    before = state.rows_by_key
    check_withdrawals(before, rows_by_key, state.tombstones_by_key)
    check_table(rows_by_key)
    tombstones = buried(before, rows_by_key, state.tombstones_by_key, offset)
    return TableState(offset, rows_by_key, tombstones)


def _check_base(stored: StoredRow | None, edit: RowEdit) -> None:
    current = stored.revision if stored else NO_REVISION
    if edit.base_revision != current:
        raise LostRaceError(edit.key, current)


def _rejected(
    audited: AuditEntry, reason: str, winner: int | None = None
) -> AuditEntry:
    return dataclasses.replace(
        audited, outcome='rejected', reason=reason, winner=winner
    )


def _audit(
    entry: LogEntry, change: TableChange, before: Mapping[str, StoredRow]
) -> AuditEntry:
    return AuditEntry(
        offset=entry.offset,
        time_ms=entry.time_ms,
        record_id=entry.record.id,
        author=change.author,
        keys=tuple(edit.key for edit in change.edits),
        outcome='accepted',
        rows=tuple(_audit_row(edit, before) for edit in change.edits),
        note=change.note,
    )


def _audit_row(edit: RowEdit, before: Mapping[str, StoredRow]) -> AuditRow:
    stored = before.get(edit.key)
    # A copy, because the content is a view of the whole record.
    after = edit.content.copy()
    row = stored.row if stored else None
    return AuditRow(edit.key, msgspec.Raw(msgspec.json.encode(row)), after)


def _unreadable(entry: LogEntry, reason: str) -> AuditEntry:
    return AuditEntry(
        offset=entry.offset,
        time_ms=entry.time_ms,
        record_id=entry.record.id,
        author='',
        keys=(),
        outcome='rejected',
        reason=reason,
    )
