"""Hold one stream's position and hand its entries to the folds in order."""

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
    """Entries of one stream, each folded once and in offset order.

    Entries come from the log and from peers, repeated and out of step; only
    the entry at the position is taken, so the state never steps back.
    """

    def __init__(self, stream: str) -> None:
        self.stream = stream
        # The log lost entries that were folded here: what it holds from the
        # position on continues another history.
        self.is_diverged = False
        self.last_id = ''
        self._next_offset = 0
        self._adopted_offset = NO_OFFSET
        self._advanced = threading.Condition()
        self._folds: list[Fold] = []
        self._parts = Parts()
        self._ring: collections.deque[LogEntry] = collections.deque(
            maxlen=RING_RECORDS
        )

    @property
    def next_offset(self) -> int:
        """Return the offset of the next entry to fold."""
        return self._next_offset

    def add_fold(self, fold: Fold) -> None:
        """Call fold for each entry from now on."""
        self._folds.append(fold)

    def add_part(self, name: str, dump: Dump, restore: Restore) -> None:
        """Keep what a fold has gathered in the stream's snapshots."""
        self._parts.add(name, Part(dump, restore))

    def offer(self, entries: Iterable[LogEntry]) -> int:
        """Fold the entries that continue the stream; return how many."""
        with self._advanced:
            taken = sum(self._take(entry) for entry in entries)
            if taken:
                self._advanced.notify_all()
        return taken

    def entries_from(
        self, offset: int, limit: int, last_id: str = ''
    ) -> tuple[LogEntry, ...]:
        """Return recent entries from offset on, or none if too old.

        Where a last id is given, the entry before offset must bear it.
        """
        with self._advanced:
            if not self._ring or offset < self._ring[0].offset:
                return ()
            start = offset - self._ring[0].offset
            chosen = list(self._ring)[max(0, start - 1) : start + limit]
        is_checked = bool(start and last_id)
        if is_checked and (not chosen or chosen[0].record.id != last_id):
            return ()
        return tuple(entry for entry in chosen if entry.offset >= offset)

    def recent(self) -> tuple[LogEntry, ...]:
        """Return the entries that are kept, the oldest first."""
        with self._advanced:
            return tuple(self._ring)

    def is_too_old(self, offset: int) -> bool:
        """Tell whether the entry at offset was folded but is not kept."""
        with self._advanced:
            if not self._ring:
                return offset < self._next_offset
            return offset < self._ring[0].offset

    def wait_until_folded(self, offset: int, timeout_s: float) -> bool:
        """Wait until the entry at offset is folded; False on timeout."""
        with self._advanced:
            return self._advanced.wait_for(
                lambda: self._next_offset > offset, timeout_s
            )

    def drain(self, fetch: Callable[[], bool]) -> bool:
        """Fetch until nothing is left to fold; False where a fetch fails."""
        position = -1
        while position < self._next_offset:
            position = self._next_offset
            if not fetch():
                return False
        return True

    def dump(self) -> FeedDump:
        """Return every part as it is before the next entry."""
        with self._advanced:
            return FeedDump(
                self._next_offset,
                self.last_id,
                self._parts.dump(),
                self._adopted_offset,
            )

    def restore(self, dump: FeedDump) -> bool:
        """Step ahead to a dump; False if it is not ahead or unreadable."""
        with self._advanced:
            if dump.offset <= self._next_offset:
                return False
            if not self._parts.restore(dump.dumped_by_part):
                return False
            self._adopted_offset = dump.adopted_offset
            self._move_to(dump.offset, dump.last_id)
        return True

    def adopt(self, dump: FeedDump, entry: LogEntry) -> bool:
        """Replace the state, as the entry at which the dump ends asks.

        Every daemon that folds the entry does so. Only a dump from further
        on than the last one adopted counts; a diverged feed keeps its own
        state where that is further on still.
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
            self._ring.clear()
        self._next_offset = offset
        self.last_id = last_id
        self._advanced.notify_all()

    def _take(self, entry: LogEntry) -> int:
        if entry.offset != self._next_offset:
            return 0
        if entry.record.format > CURRENT_FORMAT:
            emit(UNKNOWN_RECORD, stream=self.stream, offset=entry.offset)
        else:
            for fold in self._folds:
                self._fold_one(fold, entry)
        self._ring.append(entry)
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
