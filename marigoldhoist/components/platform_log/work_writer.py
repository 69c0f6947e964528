"""Batch the records of many threads into few appends to one stream."""

import dataclasses
import threading
from concurrent.futures import Future
from typing import Final, Protocol

from result import Ok

from marigoldhoist.components.platform_log.models import Record
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.kernel import Kernel

# Wait after the first pending record, so that others join its batch.
BATCH_DELAY_S: Final = 0.004
APPEND_TIMEOUT_S: Final = 1.0
# After a failed append, the writer is reported as failing for this long.
FAILING_WINDOW_S: Final = 1.0
MAX_BATCH_RECORDS: Final = 200
# Longest wait for records before the stop event is checked again, and pause
# after a failed append.
IDLE_WAIT_S: Final = 0.2

# Offset of a record on the log, None if it is not known.
AppendedOffset = int | None


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRecord:
    """A record to append and the future that receives its offset.

    The append of a retried record is repeated until the log confirms it.
    """

    record: Record
    offset_future: Future[AppendedOffset]
    is_retried: bool


class RecordWriter(Protocol):
    """Interface of a writer to one stream."""

    @property
    def is_failing(self) -> bool:
        """Return whether an append failed within the last second."""

    def submit(self, record: Record) -> Future[AppendedOffset]:
        """Append a record with a single attempt."""

    def submit_with_retry(self, record: Record) -> Future[AppendedOffset]:
        """Append a record, retrying until the log confirms it."""

    def cancel(self, record_id: str) -> bool:
        """Withdraw a pending record; False if it may be on the log."""

    def stop_retrying(self, record_id: str) -> None:
        """Stop retrying a record; it may be on the log already."""


class WorkWriter:
    """Batches the records that arrive within a few milliseconds.

    After a failed append, a record from `submit` is dropped and its future
    yields None. A record from `submit_with_retry` is appended again under the
    same id until the log confirms it.
    """

    def __init__(self, kernel: Kernel, log: LogService, stream: str) -> None:
        self._kernel = kernel
        self._log = log
        self._stream = stream
        self._changed = threading.Condition()
        self._pending_by_id: dict[str, PendingRecord] = {}
        self._failed_s = -FAILING_WINDOW_S

    @property
    def is_failing(self) -> bool:
        """Return whether an append failed within the last second."""
        return SYSTEM_CLOCK.monotonic_s() - self._failed_s < FAILING_WINDOW_S

    def unconfirmed(self) -> tuple[Record, ...]:
        """Return the retried records that the log has not confirmed."""
        with self._changed:
            return tuple(
                pending.record
                for pending in self._pending_by_id.values()
                if pending.is_retried
            )

    def submit(self, record: Record) -> Future[AppendedOffset]:
        """Append a record with a single attempt.

        The future yields the offset, or None if the append failed.
        """
        return self._add(record, is_retried=False)

    def submit_with_retry(self, record: Record) -> Future[AppendedOffset]:
        """Append a record, retrying until the log confirms it.

        The future yields the offset.
        """
        return self._add(record, is_retried=True)

    def cancel(self, record_id: str) -> bool:
        """Withdraw a pending record; False if it may be on the log."""
        with self._changed:
            pending = self._pending_by_id.get(record_id)
            if pending is None or not pending.offset_future.cancel():
                return False
            self._pending_by_id.pop(record_id)
        return True

    def stop_retrying(self, record_id: str) -> None:
        """Stop retrying a record; it may be on the log already."""
        with self._changed:
            self._pending_by_id.pop(record_id, None)
            self._changed.notify_all()

    def flush(self, timeout_s: float) -> bool:
        """Wait until no record is pending; return False on a timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._pending_by_id, timeout_s
            )

    def run(self) -> None:
        """Append batches until the kernel stops."""
        while not self._kernel.stopping.is_set():
            self._wait_for_records()
            self._kernel.stopping.wait(BATCH_DELAY_S)
            if not self.append_batch():
                self._kernel.stopping.wait(IDLE_WAIT_S)

    def append_batch(self) -> bool:
        """Append the next batch; return False if it was not confirmed."""
        batch = self._take_batch()
        if not batch:
            return True
        records = tuple(pending.record for pending in batch)
        appended = self._log.append(self._stream, records, APPEND_TIMEOUT_S)
        if isinstance(appended, Ok):
            self._confirm(batch, appended.ok_value)
            return True
        self._failed_s = SYSTEM_CLOCK.monotonic_s()
        self._discard_unretried(batch)
        return False

    def _add(self, record: Record, is_retried: bool) -> Future[AppendedOffset]:
        pending = PendingRecord(record, Future(), is_retried)
        with self._changed:
            known = self._pending_by_id.setdefault(record.id, pending)
            self._changed.notify_all()
        return known.offset_future

    def _wait_for_records(self) -> None:
        with self._changed:
            self._changed.wait_for(
                lambda: bool(self._pending_by_id), IDLE_WAIT_S
            )

    def _take_batch(self) -> tuple[PendingRecord, ...]:
        with self._changed:
            batch = list(self._pending_by_id.values())[:MAX_BATCH_RECORDS]
            for pending in batch:
                if not pending.offset_future.running():
                    pending.offset_future.set_running_or_notify_cancel()
        return tuple(batch)

    def _confirm(
        self, batch: tuple[PendingRecord, ...], offsets: tuple[int, ...]
    ) -> None:
        with self._changed:
            for pending, offset in zip(batch, offsets, strict=True):
                self._pending_by_id.pop(pending.record.id, None)
                pending.offset_future.set_result(offset)
            self._changed.notify_all()

    def _discard_unretried(self, batch: tuple[PendingRecord, ...]) -> None:
        with self._changed:
            for pending in batch:
                if not pending.is_retried:
                    self._pending_by_id.pop(pending.record.id, None)
                    pending.offset_future.set_result(None)
            self._changed.notify_all()
