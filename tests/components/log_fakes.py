"""A log that loses, delays and duplicates what is written to it."""

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
    """What becomes of an append."""

    CONFIRMED = 'confirmed'
    ANSWER_LOST = 'answer lost'
    DUPLICATED = 'doubled'
    DELAYED = 'delayed'
    REFUSED = 'refused'


@dataclasses.dataclass(slots=True)
class FakeLog:
    """Entries of one stream, and appends that have not arrived yet."""

    now_ms: int = START_MS
    entries: list[LogEntry] = dataclasses.field(default_factory=list)
    delayed: list[Record] = dataclasses.field(default_factory=list)

    def append(self, record: Record, fate: AppendOutcome) -> AppendedOffset:
        """Take a record as its fate says; return the offset if told."""
        if fate is AppendOutcome.REFUSED:
            return None
        if fate is AppendOutcome.DELAYED:
            self.delayed.append(record)
            return None
        offset = self._take(record)
        if fate is AppendOutcome.DUPLICATED:
            offset = self._take(record)
        return None if fate is AppendOutcome.ANSWER_LOST else offset

    def advance_time(self, duration_ms: int) -> None:
        """Let time pass; somebody else writes a record meanwhile."""
        if duration_ms:
            self.now_ms += duration_ms
            self._take(new_record('other', None))

    def deliver_delayed(self) -> None:
        """Take every delayed append."""
        arrived = tuple(self.delayed)
        self.delayed.clear()
        for record in arrived:
            self._take(record)

    def _take(self, record: Record) -> int:
        offset = len(self.entries)
        self.entries.append(LogEntry(offset, self.now_ms, record))
        return offset


class FakeWriter:
    """Appends at once with the fate set for the next record."""

    def __init__(self, log: FakeLog, feed: Feed) -> None:
        self.log = log
        self.feed = feed
        self.append_outcome = AppendOutcome.CONFIRMED
        self.is_failing = False
        self.is_lagging = False
        self.append_delay_ms = 0
        self.unconfirmed_by_id: dict[str, Record] = {}

    def submit(self, record: Record) -> Future[AppendedOffset]:
        """Append once, after the pause that is set."""
        self.log.advance_time(self.append_delay_ms)
        waiting: Future[AppendedOffset] = Future()
        waiting.set_result(self.log.append(record, self.append_outcome))
        if not self.is_lagging:
            self.catch_up()
        return waiting

    def submit_with_retry(self, record: Record) -> Future[AppendedOffset]:
        """Hold a record until `ship`."""
        self.unconfirmed_by_id.setdefault(record.id, record)
        return Future()

    def cancel(self, _record_id: str) -> bool:
        """Refuse: every submitted record was sent at once."""
        return False

    def stop_retrying(self, record_id: str) -> None:
        """Forget a held record."""
        self.unconfirmed_by_id.pop(record_id, None)

    def append_unconfirmed(self, fate: AppendOutcome) -> None:
        """Append what is held; it stays held until confirmed."""
        for record in tuple(self.unconfirmed_by_id.values()):
            if self.log.append(record, fate) is not None:
                self.unconfirmed_by_id.pop(record.id)

    def catch_up(self) -> None:
        """Fold everything that is on the log."""
        self.feed.offer(self.log.entries[self.feed.next_offset :])
