"""The table service: the current table and submission of changes."""

from result import Err, Ok, Result

from marigoldhoist.components.platform_log.const import (
    COMPONENT as LOG,
)
from marigoldhoist.components.platform_log.const import TABLE_STREAM
from marigoldhoist.components.platform_log.models import LogEntry, new_record
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.components.table.audit import AuditEntry
from marigoldhoist.components.table.const import (
    CHANGE_KIND,
    CHANGE_TIMEOUT_S,
    COMPONENT,
)
from marigoldhoist.components.table.errors import (
    ChangeRejected,
    ChangeUnknown,
    InvalidTableError,
)
from marigoldhoist.components.table.events import (
    CHANGE_REJECTED,
    TABLE_CHANGED,
)
from marigoldhoist.components.table.fold import TableFold, apply_change
from marigoldhoist.components.table.models import TableChange, TableStatus
from marigoldhoist.components.table.state import TableState
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel

ChangeFailure = ChangeRejected | ChangeUnknown


class TableService(BaseService):
    """Keeps the current table and submits changes to the log."""

    def __init__(self, kernel: Kernel) -> None:
        self.fold = TableFold()
        self._log = kernel.find(LOG, LogService)
        self.feed = self._log.feeds_by_stream[TABLE_STREAM]
        self.feed.add_fold(self._apply)
        self.feed.add_part(COMPONENT, self.fold.dump, self.fold.restore)

    @property
    def state(self) -> TableState:
        """Return the current table."""
        return self.fold.state

    def status(self) -> TableStatus:
        """Return the current revision and the next offset to fold."""
        return TableStatus(self.state.revision, self.feed.next_offset)

    def submit(
        self, change: TableChange, record_id: str = ''
    ) -> Result[AuditEntry, ChangeFailure]:
        """Validate a change, append it and wait until it is folded.

        Returns the audit entry of an accepted change. Another change may be
        folded between the check here and the append, so the outcome that the
        fold recorded decides. `record_id` is the id of the log record; empty
        generates one.
        """
        try:
            apply_change(self.state, change, self.feed.next_offset)
        except InvalidTableError as error:
            return Err(ChangeRejected(str(error), error.winner))
        record = new_record(CHANGE_KIND, change, record_id)
        appended = self._log.append(TABLE_STREAM, (record,), CHANGE_TIMEOUT_S)
        if isinstance(appended, Err):
            return Err(ChangeUnknown(appended.err_value.reason))
        offset = appended.ok_value[0]
        if not self.feed.wait_until_folded(offset, CHANGE_TIMEOUT_S):
            return Err(ChangeUnknown(f'offset {offset} is not read back yet'))
        return self._outcome(record.id)

    def _outcome(self, record_id: str) -> Result[AuditEntry, ChangeFailure]:
        audit_entry = self.fold.audit_entry_of(record_id)
        if audit_entry is None:
            return Err(ChangeUnknown('the fold has no outcome'))
        if audit_entry.outcome == 'rejected':
            return Err(ChangeRejected(audit_entry.reason, audit_entry.winner))
        return Ok(audit_entry)

    def _apply(self, entry: LogEntry) -> None:
        previous_revision = self.state.revision
        self.fold.apply(entry)
        if self.state.revision != previous_revision:
            emit(TABLE_CHANGED, offset=entry.offset)
            return
        audit_entry = self.fold.audit_entry_of(entry.record.id)
        if audit_entry is not None and audit_entry.outcome == 'rejected':
            emit(
                CHANGE_REJECTED, offset=entry.offset, reason=audit_entry.reason
            )
