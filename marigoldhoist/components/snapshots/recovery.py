"""Find and restore snapshots of one stream on the log."""

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

SNAPSHOT_KINDS = frozenset((CHUNK_KIND, FILLER_KIND))


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPosition:
    """Position of a snapshot on the log.

    `base_offset` is the offset of its state, `end_offset` and `time_ms` are
    those of the log entry with its last chunk.
    """

    base_offset: int
    end_offset: int
    time_ms: int


class StreamRecovery:
    """Restores snapshots of a stream and adopts those marked for adoption.

    `newest` is the position of the snapshot that was folded last.
    """

    def __init__(self, feed: Feed, reader: LogReader) -> None:
        self.newest: SnapshotPosition | None = None
        self._feed = feed
        self._reader = reader
        self._assembler = ChunkAssembler()
        feed.add_fold(self.apply)

    def apply(self, entry: LogEntry) -> None:
        """Fold one entry: track snapshots, and adopt one that must be."""
        snapshot = self._assembler.add(entry)
        if snapshot is None:
            return
        base_offset = snapshot.dump.offset
        self._assembler.discard_before(base_offset)
        self.newest = SnapshotPosition(base_offset, entry.offset, entry.time_ms)
        if snapshot.is_to_adopt:
            self._feed.adopt(snapshot.dump, entry)

    def scan_entry(self, entry: LogEntry) -> bool:
        """Scan an entry of a diverged log; True if a state was adopted."""
        snapshot = self._assembler.add(entry)
        if snapshot is None or not snapshot.is_to_adopt:
            return False
        return self._feed.adopt(snapshot.dump, entry)

    def catch_up(self, reply: ReadReply) -> bool:
        """Restore the newest usable snapshot on the log.

        Returns False if there is none that is ahead of the current state.
        """
        dump = self._find_newest_dump(reply.first_offset, reply.next_offset)
        if dump is None or not self._feed.restore(dump):
            return False
        emit(SNAPSHOT_RESTORED, stream=self._feed.stream, offset=dump.offset)
        return True

    def unfolded_records(self) -> tuple[Record, ...]:
        """Return the records that the diverged log has but this state lacks.

        Records of snapshots are left out.
        """
        recent = self._feed.recent_entries()
        own_ids = {entry.record.id for entry in recent}
        start = recent[0].offset if recent else self._feed.next_offset
        return tuple(
            entry.record
            for entry in self._entries_from(start)
            if entry.record.id not in own_ids
            and entry.record.kind not in SNAPSHOT_KINDS
        )

    def _entries_from(self, start: int) -> Iterator[LogEntry]:
        while True:
            reply = self._reader.read(self._feed.stream, start)
            yield from reply.entries
            if not reply.entries:
                return
            start = reply.entries[-1].offset + 1

    def _find_newest_dump(
        self, first_offset: int, next_offset: int
    ) -> FeedDump | None:
        """Return the newest usable dump between the two offsets.

        Searches backwards from the end of the log, so that only a small part
        of a long log is read.
        """
        assembler = ChunkAssembler()
        end = next_offset
        min_offset = max(first_offset, self._feed.next_offset)
        while end > min_offset:
            start = max(min_offset, end - READ_LIMIT_RECORDS)
            reply = self._reader.read(self._feed.stream, start)
            window = [entry for entry in reply.entries if entry.offset < end]
            dump = _last_usable_dump(assembler, window, min_offset)
            if dump is not None:
                return dump
            end = start
        return None


def _last_usable_dump(
    assembler: ChunkAssembler, window: list[LogEntry], min_offset: int
) -> FeedDump | None:
    """Return the last dump of a window from which replay can continue.

    That needs all entries from its offset on; `min_offset` is the oldest
    offset allowed.
    """
    for entry in reversed(window):
        snapshot = assembler.add(entry)
        if snapshot is not None and _is_usable(snapshot, min_offset):
            return snapshot.dump
    return None


def _is_usable(snapshot: Snapshot, min_offset: int) -> bool:
    return snapshot.dump.offset >= min_offset and not snapshot.is_to_adopt
