"""Fold changes from the log into the table (state machine replication).

Every daemon folds the same entries in the same order and therefore accepts
and rejects the same changes.
"""

import collections
import dataclasses
from collections.abc import Mapping

import msgspec

from marigoldhoist.components.platform_log.models import LogEntry
from marigoldhoist.components.table.audit import AuditEntry, AuditRow
from marigoldhoist.components.table.const import (
    CHANGE_KIND,
    MAX_AUDIT_ENTRIES,
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
    check_withdrawals,
    tombstones_after,
)
from marigoldhoist.components.table.validation import check_table, decode_row
from marigoldhoist.core.decoding import decode_json


class RevisionConflictError(InvalidTableError):
    """The row was changed after the author of this change read it."""

    def __init__(self, key: str, winner: int) -> None:
        super().__init__(f'{key} was changed at offset {winner}')
        self.winner = winner


class TableFold:
    """The current table and the audit trail of the folded changes."""

    def __init__(self) -> None:
        self.state = TableState()
        self.audit: collections.deque[AuditEntry] = collections.deque(
            maxlen=MAX_AUDIT_ENTRIES
        )
        self._audit_by_record_id: dict[str, AuditEntry] = {}

    def apply(self, entry: LogEntry) -> None:
        """Fold one log entry.

        Ignores records of other kinds and duplicates of a record whose id is
        in the audit trail.
        """
        if entry.record.kind != CHANGE_KIND:
            return
        if entry.record.id in self._audit_by_record_id:
            return
        self._append_audit_entry(self._evaluate(entry))

    def audit_entry_of(self, record_id: str) -> AuditEntry | None:
        """Return the outcome of a change by the id of its log record.

        None if the record was not folded or has left the audit trail.
        """
        return self._audit_by_record_id.get(record_id)

    def dump(self) -> msgspec.Raw:
        """Serialize the table and the audit trail for a snapshot."""
        return dump_table(self.state, tuple(self.audit))

    def restore(self, dumped: msgspec.Raw) -> None:
        """Replace the table and the audit trail by those of a snapshot."""
        state, audit_entries = load_table(dumped)
        self.state = state
        self.audit.clear()
        self.audit.extend(audit_entries)
        self._audit_by_record_id = {
            audit_entry.record_id: audit_entry for audit_entry in audit_entries
        }

    def _evaluate(self, entry: LogEntry) -> AuditEntry:
        try:
            change = decode_json(entry.record.body, TableChange)
        except msgspec.MsgspecError as error:
            return _undecodable_entry(entry, str(error))
        audit_entry = _accepted_entry(
            entry, change, before=self.state.rows_by_key
        )
        try:
            self.state = apply_change(self.state, change, entry.offset)
        except RevisionConflictError as conflict:
            return _as_rejected(audit_entry, str(conflict), conflict.winner)
        except InvalidTableError as error:
            return _as_rejected(audit_entry, str(error))
        return audit_entry

    def _append_audit_entry(self, audit_entry: AuditEntry) -> None:
        if len(self.audit) == MAX_AUDIT_ENTRIES:
            evicted_id = self.audit[0].record_id
            self._audit_by_record_id.pop(evicted_id, None)
        self.audit.append(audit_entry)
        self._audit_by_record_id[audit_entry.record_id] = audit_entry


def apply_change(
    state: TableState, change: TableChange, offset: int
) -> TableState:
    """Return the table after a change at the given log offset.

    Raises InvalidTableError if the change is rejected; `state` itself is
    never modified.
    """
    rows_by_key = dict(state.rows_by_key)
    for edit in change.edits:
        _check_base_revision(rows_by_key.get(edit.key), edit)
        row = decode_row(edit)
        if row is None:
            rows_by_key.pop(edit.key, None)
        else:
            rows_by_key[edit.key] = StoredRow(offset, row)
    before = state.rows_by_key
    check_withdrawals(before, rows_by_key, state.tombstones_by_key)
    check_table(rows_by_key)
    tombstones = tombstones_after(
        before, rows_by_key, state.tombstones_by_key, offset
    )
    return TableState(offset, rows_by_key, tombstones)


def _check_base_revision(stored: StoredRow | None, edit: RowEdit) -> None:
    current = stored.revision if stored else NO_REVISION
    if edit.base_revision != current:
        raise RevisionConflictError(edit.key, current)


def _as_rejected(
    audit_entry: AuditEntry, reason: str, winner: int | None = None
) -> AuditEntry:
    return dataclasses.replace(
        audit_entry, outcome='rejected', reason=reason, winner=winner
    )


def _accepted_entry(
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
    # The content is a view into the buffer of the whole record: without a
    # copy, the audit trail would keep that buffer in memory.
    after = edit.content.copy()
    row = stored.row if stored else None
    return AuditRow(edit.key, msgspec.Raw(msgspec.json.encode(row)), after)


def _undecodable_entry(entry: LogEntry, reason: str) -> AuditEntry:
    return AuditEntry(
        offset=entry.offset,
        time_ms=entry.time_ms,
        record_id=entry.record.id,
        author='',
        keys=(),
        outcome='rejected',
        reason=reason,
    )
