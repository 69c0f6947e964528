"""The table service: the table in force, and changes to it."""

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
from marigoldhoist.components.table.fold import TableFold, changed_state
from marigoldhoist.components.table.models import TableChange, TableStatus
from marigoldhoist.components.table.state import TableState
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel

ChangeFailure = ChangeRejected | ChangeUnknown


class TableService(BaseService):
    """Holds the table in force and submits changes to the log."""

    def __init__(self, kernel: Kernel) -> None:
        self.fold = TableFold()
        self._log = kernel.find(LOG, LogService)
        self.feed = self._log.feeds_by_stream[TABLE_STREAM]
        self.feed.add_fold(self._apply)
        self.feed.add_part(COMPONENT, self.fold.dump, self.fold.restore)

    @property
    def state(self) -> TableState:
        """Return the table in force."""
        return self.fold.state

    def status(self) -> TableStatus:
        """Return what operators see of the table."""
        return TableStatus(self.state.revision, self.feed.next_offset)

    def submit(
        self, change: TableChange, record_id: str = ''
    ) -> Result[AuditEntry, ChangeFailure]:
        """Check, append and await a change."""
        try:
            changed_state(self.state, change, self.feed.next_offset)
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
        audited = self.fold.outcome_of(record_id)
        if audited is None:
            return Err(ChangeUnknown('the fold has no outcome'))
        if audited.outcome == 'rejected':
            return Err(ChangeRejected(audited.reason, audited.winner))
        return Ok(audited)

    def _apply(self, entry: LogEntry) -> None:
        before = self.state.revision
        self.fold.apply(entry)
        if self.state.revision != before:
            emit(TABLE_CHANGED, offset=entry.offset)
            return
        audited = self.fold.outcome_of(entry.record.id)
        if audited is not None and audited.outcome == 'rejected':
            emit(CHANGE_REJECTED, offset=entry.offset, reason=audited.reason)
