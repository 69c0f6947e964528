"""Append records of many threads to one stream in few appends."""

import dataclasses
import threading
from concurrent.futures import Future
from typing import Final, Protocol

from result import Ok

from marigoldhoist.components.platform_log.models import Record
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.kernel import Kernel

GATHER_S: Final = 0.004
APPEND_TIMEOUT_S: Final = 1.0
FAILING_S: Final = 1.0
MAX_BATCH_RECORDS: Final = 200
IDLE_S: Final = 0.2

# The offset that the log gave a record, or none where that is not known.
AppendedOffset = int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """A record that waits for its append, and who waits for its offset."""

    record: Record
    waiting: Future[AppendedOffset]
    is_retried: bool


class RecordWriter(Protocol):
    """What components ask of a writer to one stream."""

    @property
    def is_failing(self) -> bool:
        """Tell whether an append failed within the last second."""

    def submit(self, record: Record) -> Future[AppendedOffset]:
        """Append a record once."""

    def submit_with_retry(self, record: Record) -> Future[AppendedOffset]:
        """Append a record, again and again until the log confirms it."""

    def cancel(self, record_id: str) -> bool:
        """Take back a record; False where it may be on the log."""

    def stop_retrying(self, record_id: str) -> None:
        """Stop appending a kept record; it may be on the log already."""


class WorkWriter:
    """Batches the records that arrive within a few milliseconds.

    A submitted record is given up when its append fails, a kept one is
    appended again under its id until the log confirms it.
    """

    def __init__(self, kernel: Kernel, log: LogService, stream: str) -> None:
        self._kernel = kernel
        self._log = log
        self._stream = stream
        self._changed = threading.Condition()
        self._pending_by_id: dict[str, Pending] = {}
        self._failed_s = -FAILING_S

    @property
    def is_failing(self) -> bool:
        """Tell whether an append failed within the last second."""
        return SYSTEM_CLOCK.monotonic_s() - self._failed_s < FAILING_S

    def unconfirmed(self) -> tuple[Record, ...]:
        """Return the kept records that the log has not confirmed."""
        with self._changed:
            return tuple(
                pending.record
                for pending in self._pending_by_id.values()
                if pending.is_retried
            )

    def submit(self, record: Record) -> Future[AppendedOffset]:
        """Append a record once."""
        return self._add(record, is_retried=False)

    def submit_with_retry(self, record: Record) -> Future[AppendedOffset]:
        """Append a record, again and again until the log confirms it."""
        return self._add(record, is_retried=True)

    def cancel(self, record_id: str) -> bool:
        """Take back a record; False where it may be on the log."""
        with self._changed:
            pending = self._pending_by_id.get(record_id)
            if pending is None or not pending.waiting.cancel():
                return False
            self._pending_by_id.pop(record_id)
        return True

    def stop_retrying(self, record_id: str) -> None:
        """Stop appending a kept record; it may be on the log already."""
        with self._changed:
            self._pending_by_id.pop(record_id, None)
            self._changed.notify_all()

    def flush(self, timeout_s: float) -> bool:
        """Wait until every kept record is on the log; False on timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._pending_by_id, timeout_s
            )

    def run(self) -> None:
        """Append until the kernel stops."""
        while not self._kernel.stopping.is_set():
            self._await_work()
            self._kernel.stopping.wait(GATHER_S)
            if not self.append_batch():
                self._kernel.stopping.wait(IDLE_S)

    def append_batch(self) -> bool:
        """Append what is pending; False where the log did not confirm it."""
        batch = self._take_batch()
        if not batch:
            return True
        records = tuple(pending.record for pending in batch)
        appended = self._log.append(self._stream, records, APPEND_TIMEOUT_S)
        if isinstance(appended, Ok):
            self._confirm(batch, appended.ok_value)
            return True
        self._failed_s = SYSTEM_CLOCK.monotonic_s()
        self._give_up(batch)
        return False

    def _add(self, record: Record, is_retried: bool) -> Future[AppendedOffset]:
        pending = Pending(record, Future(), is_retried)
        with self._changed:
            known = self._pending_by_id.setdefault(record.id, pending)
            self._changed.notify_all()
        return known.waiting

    def _await_work(self) -> None:
        with self._changed:
            self._changed.wait_for(lambda: bool(self._pending_by_id), IDLE_S)

    def _take_batch(self) -> tuple[Pending, ...]:
        with self._changed:
            chosen = list(self._pending_by_id.values())[:MAX_BATCH_RECORDS]
            for pending in chosen:
                if not pending.waiting.running():
                    pending.waiting.set_running_or_notify_cancel()
        return tuple(chosen)

    def _confirm(
        self, batch: tuple[Pending, ...], offsets: tuple[int, ...]
    ) -> None:
        with self._changed:
            for pending, offset in zip(batch, offsets, strict=True):
                self._pending_by_id.pop(pending.record.id, None)
                pending.waiting.set_result(offset)
            self._changed.notify_all()

    def _give_up(self, batch: tuple[Pending, ...]) -> None:
        with self._changed:
            for pending in batch:
                if not pending.is_retried:
                    self._pending_by_id.pop(pending.record.id, None)
                    pending.waiting.set_result(None)
            self._changed.notify_all()
