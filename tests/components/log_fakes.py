"""A fake log whose appends may be lost, delayed, duplicated or refused."""

import dataclasses
import enum
from concurrent.futures import Future

from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.components.platform_log.models import (
    LogEntry,
    Record,
    new_record,
)
from marigoldhoist.components.platform_log.work_writer import AppendedOffset

START_MS = 1_800_000_000_000


class AppendOutcome(enum.Enum):
    """What happens to an append and to its response."""

    CONFIRMED = 'confirmed'
    ANSWER_LOST = 'answer lost'
    DUPLICATED = 'doubled'
    DELAYED = 'delayed'
    REFUSED = 'refused'


@dataclasses.dataclass(slots=True)
class FakeLog:
    """Entries of one stream and its delayed appends."""

    now_ms: int = START_MS
    entries: list[LogEntry] = dataclasses.field(default_factory=list)
    delayed: list[Record] = dataclasses.field(default_factory=list)

    def append(self, record: Record, outcome: AppendOutcome) -> AppendedOffset:
        """Append a record with an outcome; return the offset if confirmed."""
        if outcome is AppendOutcome.REFUSED:
            return None
        if outcome is AppendOutcome.DELAYED:
            self.delayed.append(record)
            return None
        offset = self._append_entry(record)
        if outcome is AppendOutcome.DUPLICATED:
            offset = self._append_entry(record)
        return None if outcome is AppendOutcome.ANSWER_LOST else offset

    def advance_time(self, duration_ms: int) -> None:
        """Advance the log's time and append an unrelated record at it."""
        if duration_ms:
            self.now_ms += duration_ms
            self._append_entry(new_record('other', None))

    def deliver_delayed(self) -> None:
        """Append every delayed record."""
        records = tuple(self.delayed)
        self.delayed.clear()
        for record in records:
            self._append_entry(record)

    def _append_entry(self, record: Record) -> int:
        offset = len(self.entries)
        self.entries.append(LogEntry(offset, self.now_ms, record))
        return offset


class FakeWriter:
    """A record writer that appends at once, with the configured outcome."""

    def __init__(self, log: FakeLog, feed: Feed) -> None:
        self.log = log
        self.feed = feed
        self.append_outcome = AppendOutcome.CONFIRMED
        self.is_failing = False
        self.is_lagging = False
        self.append_delay_ms = 0
        self.unconfirmed_by_id: dict[str, Record] = {}

    def submit(self, record: Record) -> Future[AppendedOffset]:
        """Append once, after the configured delay."""
        self.log.advance_time(self.append_delay_ms)
        offset_future: Future[AppendedOffset] = Future()
        offset_future.set_result(self.log.append(record, self.append_outcome))
        if not self.is_lagging:
            self.catch_up()
        return offset_future

    def submit_with_retry(self, record: Record) -> Future[AppendedOffset]:
        """Hold a record until `append_unconfirmed`."""
        self.unconfirmed_by_id.setdefault(record.id, record)
        return Future()

    def cancel(self, _record_id: str) -> bool:
        """Return False, because every submitted record was sent at once."""
        return False

    def stop_retrying(self, record_id: str) -> None:
        """Forget a held record."""
        self.unconfirmed_by_id.pop(record_id, None)

    def append_unconfirmed(self, outcome: AppendOutcome) -> None:
        """Append the held records; release those that are confirmed."""
        for record in tuple(self.unconfirmed_by_id.values()):
            if self.log.append(record, outcome) is not None:
                self.unconfirmed_by_id.pop(record.id)

    def catch_up(self) -> None:
        """Fold all entries of the log."""
        self.feed.offer(self.log.entries[self.feed.next_offset :])
