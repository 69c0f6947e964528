"""Bring one stream's state on by a snapshot on the log."""

import dataclasses
from collections.abc import Iterator

from marigoldhoist.components.platform_log.const import READ_LIMIT_RECORDS
from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.components.platform_log.follower import LogReader
from marigoldhoist.components.platform_log.models import (
    FeedDump,
    LogEntry,
    ReadReply,
    Record,
)
from marigoldhoist.components.snapshots.chunks import ChunkAssembler, Snapshot
from marigoldhoist.components.snapshots.const import CHUNK_KIND, FILLER_KIND
from marigoldhoist.components.snapshots.events import SNAPSHOT_RESTORED
from marigoldhoist.core.events import emit

OWN_KINDS = frozenset((CHUNK_KIND, FILLER_KIND))


@dataclasses.dataclass(frozen=True, slots=True)
class SeenSnapshot:
    """The newest snapshot that was folded, and the log's time of it."""

    base_offset: int
    end_offset: int
    time_ms: int


class StreamRecovery:
    """Finds snapshots of a stream, and adopts those that ask for it."""

    def __init__(self, feed: Feed, reader: LogReader) -> None:
        self.seen: SeenSnapshot | None = None
        self._feed = feed
        self._reader = reader
        self._collector = ChunkAssembler()
        feed.add_fold(self.apply)

    def apply(self, entry: LogEntry) -> None:
        """Fold one entry: note snapshots, adopt what is to be adopted."""
        snapshot = self._collector.add(entry)
        if snapshot is None:
            return
        base_offset = snapshot.dump.offset
        self._collector.forget_before(base_offset)
        self.seen = SeenSnapshot(base_offset, entry.offset, entry.time_ms)
        if snapshot.is_to_adopt:
            self._feed.adopt(snapshot.dump, entry)

    def scan_entry(self, entry: LogEntry) -> bool:
        """Look in another history for a state to adopt."""
        snapshot = self._collector.add(entry)
        if snapshot is None or not snapshot.is_to_adopt:
            return False
        return self._feed.adopt(snapshot.dump, entry)

    def catch_up(self, reply: ReadReply) -> bool:
        """Step ahead to the newest usable snapshot on the log."""
        found = self._newest(reply.first_offset, reply.next_offset)
        if found is None or not self._feed.restore(found):
            return False
        emit(SNAPSHOT_RESTORED, stream=self._feed.stream, offset=found.offset)
        return True

    def other_records(self) -> tuple[Record, ...]:
        """Return the records that only the other history on the log has."""
        recent = self._feed.recent_entries()
        own_ids = {entry.record.id for entry in recent}
        start = recent[0].offset if recent else self._feed.next_offset
        return tuple(
            entry.record
            for entry in self._entries_from(start)
            if entry.record.id not in own_ids
            and entry.record.kind not in OWN_KINDS
        )

    def _entries_from(self, start: int) -> Iterator[LogEntry]:
        while True:
            reply = self._reader.read(self._feed.stream, start)
            yield from reply.entries
            if not reply.entries:
                return
            start = reply.entries[-1].offset + 1

    def _newest(self, first_offset: int, next_offset: int) -> FeedDump | None:
        """Search backwards, so that little of a long log is read."""
        collector = ChunkAssembler()
        end = next_offset
        lowest = max(first_offset, self._feed.next_offset)
        while end > lowest:
            start = max(lowest, end - READ_LIMIT_RECORDS)
            reply = self._reader.read(self._feed.stream, start)
            window = [entry for entry in reply.entries if entry.offset < end]
            found = _usable(collector, window, lowest)
            if found is not None:
                return found
            end = start
        return None


def _usable(
    collector: ChunkAssembler, window: list[LogEntry], lowest: int
) -> FeedDump | None:
    """Return the last snapshot that entries still on the log continue."""
    for entry in reversed(window):
        snapshot = collector.add(entry)
        if snapshot is not None and _continues(snapshot, lowest):
            return snapshot.dump
    return None


def _continues(snapshot: Snapshot, lowest: int) -> bool:
    return snapshot.dump.offset >= lowest and not snapshot.is_to_adopt
