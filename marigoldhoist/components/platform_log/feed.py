"""Track the position in one stream and fold its entries in order."""

import collections
import threading
from collections.abc import Callable, Iterable

from marigoldhoist.components.platform_log.const import RING_RECORDS
from marigoldhoist.components.platform_log.events import (
    FOLD_FAILED,
    LOG_REJOINED,
    UNKNOWN_RECORD,
)
from marigoldhoist.components.platform_log.models import (
    CURRENT_FORMAT,
    NO_OFFSET,
    FeedDump,
    LogEntry,
)
from marigoldhoist.components.platform_log.parts import (
    Dump,
    Part,
    Parts,
    Restore,
)
from marigoldhoist.core.events import emit

Fold = Callable[[LogEntry], None]


class Feed:
    """Folds each entry of one stream once and in offset order.

    Entries arrive from the log and from peers, possibly duplicated or out of
    order. Only the entry at the next offset is folded, so the state never
    goes back.
    """

    def __init__(self, stream: str) -> None:
        self.stream = stream
        # True if the log lost entries that were folded here. Its entries from
        # the next offset on then belong to another history.
        self.is_diverged = False
        self.last_id = ''
        self._next_offset = 0
        self._adopted_offset = NO_OFFSET
        self._advanced = threading.Condition()
        self._folds: list[Fold] = []
        self._parts = Parts()
        self._recent_entries: collections.deque[LogEntry] = collections.deque(
            maxlen=RING_RECORDS
        )

    @property
    def next_offset(self) -> int:
        """Return the offset of the next entry to fold."""
        return self._next_offset

    def add_fold(self, fold: Fold) -> None:
        """Register a function that is called for each entry from now on."""
        self._folds.append(fold)

    def add_part(self, name: str, dump: Dump, restore: Restore) -> None:
        """Include a component's folded state in the stream's snapshots."""
        self._parts.add(name, Part(dump, restore))

    def offer(self, entries: Iterable[LogEntry]) -> int:
        """Fold the entries that continue the stream and return their number.

        All other entries are ignored.
        """
        with self._advanced:
            folded = sum(self._fold_if_next(entry) for entry in entries)
            if folded:
                self._advanced.notify_all()
        return folded

    def entries_from(
        self, offset: int, limit: int, last_id: str = ''
    ) -> tuple[LogEntry, ...]:
        """Return up to `limit` recent entries, starting at the offset.

        The result is empty if the entry at the offset is no longer in memory.
        It is also empty if `last_id` is given and the entry before the offset
        is in memory with another record id: the caller has another history.
        """
        with self._advanced:
            if (
                not self._recent_entries
                or offset < self._recent_entries[0].offset
            ):
                return ()
            start = offset - self._recent_entries[0].offset
            window = list(self._recent_entries)[
                max(0, start - 1) : start + limit
            ]
        is_checked = bool(start and last_id)
        if is_checked and (not window or window[0].record.id != last_id):
            return ()
        return tuple(entry for entry in window if entry.offset >= offset)

    def recent_entries(self) -> tuple[LogEntry, ...]:
        """Return the entries in memory, oldest first."""
        with self._advanced:
            return tuple(self._recent_entries)

    def is_too_old(self, offset: int) -> bool:
        """Return whether a folded entry is no longer in memory."""
        with self._advanced:
            if not self._recent_entries:
                return offset < self._next_offset
            return offset < self._recent_entries[0].offset

    def wait_until_folded(self, offset: int, timeout_s: float) -> bool:
        """Wait until the entry at offset is folded; False on a timeout."""
        with self._advanced:
            return self._advanced.wait_for(
                lambda: self._next_offset > offset, timeout_s
            )

    def drain(self, fetch: Callable[[], bool]) -> bool:
        """Call fetch until it adds no new entries; False if it fails."""
        position = -1
        while position < self._next_offset:
            position = self._next_offset
            if not fetch():
                return False
        return True

    def dump(self) -> FeedDump:
        """Return the state of all parts before the next entry."""
        with self._advanced:
            return FeedDump(
                self._next_offset,
                self.last_id,
                self._parts.dump(),
                self._adopted_offset,
            )

    def restore(self, dump: FeedDump) -> bool:
        """Replace the state by a dump from a later offset.

        Returns False and keeps the state if the dump is not from a later
        offset or a part of it cannot be restored.
        """
        with self._advanced:
            if dump.offset <= self._next_offset:
                return False
            if not self._parts.restore(dump.dumped_by_part):
                return False
            self._adopted_offset = dump.adopted_offset
            self._move_to(dump.offset, dump.last_id)
        return True

    def adopt(self, dump: FeedDump, entry: LogEntry) -> bool:
        """Replace the state by a dump that must be adopted from the log.

        After the log lost its tail, a daemon appends its state as a dump; the
        given entry completes it. Every daemon that reads the entry adopts the
        dump. Returns False and keeps the state if the dump's offset is not
        higher than that of the last adopted dump, if this feed has diverged at
        a higher offset, or if a part cannot be restored.
        """
        with self._advanced:
            if dump.offset <= self._adopted_offset:
                return False
            if self.is_diverged and dump.offset < self._next_offset:
                return False
            if not self._parts.restore(dump.dumped_by_part):
                return False
            self._adopted_offset = dump.offset
            self.is_diverged = False
            self._move_to(entry.offset, self.last_id)
            emit(LOG_REJOINED, stream=self.stream, offset=entry.offset)
        return True

    def _move_to(self, offset: int, last_id: str) -> None:
        if offset != self._next_offset:
            self._recent_entries.clear()
        self._next_offset = offset
        self.last_id = last_id
        self._advanced.notify_all()

    def _fold_if_next(self, entry: LogEntry) -> int:
        if entry.offset != self._next_offset:
            return 0
        if entry.record.format > CURRENT_FORMAT:
            emit(UNKNOWN_RECORD, stream=self.stream, offset=entry.offset)
        else:
            for fold in self._folds:
                self._fold_one(fold, entry)
        self._recent_entries.append(entry)
        self._next_offset = entry.offset + 1
        self.last_id = entry.record.id
        return 1

    def _fold_one(self, fold: Fold, entry: LogEntry) -> None:
        try:
            fold(entry)
        except Exception as error:
            emit(
                FOLD_FAILED,
                stream=self.stream,
                offset=entry.offset,
                error=repr(error),
            )
