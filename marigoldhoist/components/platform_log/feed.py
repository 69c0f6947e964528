"""Hold one stream's position and hand its entries to the folds in order."""

import collections
import threading
from collections.abc import Callable, Iterable

from marigoldhoist.components.platform_log.const import RING_RECORDS
from marigoldhoist.components.platform_log.events import FOLD_FAILED
from marigoldhoist.components.platform_log.models import LogEntry
from marigoldhoist.core.events import emit

Fold = Callable[[LogEntry], None]


class Feed:
    """Entries of one stream, each folded once and in offset order.

    Entries come from the log and from peers, repeated and out of step; only
    the entry at the position is taken, so the state never steps back.
    """

    def __init__(self, stream: str) -> None:
        self.stream = stream
        self._next_offset = 0
        self._advanced = threading.Condition()
        self._folds: list[Fold] = []
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

    def offer(self, entries: Iterable[LogEntry]) -> int:
        """Fold the entries that continue the stream; return how many."""
        with self._advanced:
            taken = sum(self._take(entry) for entry in entries)
            if taken:
                self._advanced.notify_all()
        return taken

    def entries_from(self, offset: int, limit: int) -> tuple[LogEntry, ...]:
        """Return recent entries from offset on, or none if too old."""
        with self._advanced:
            if not self._ring or offset < self._ring[0].offset:
                return ()
            start = offset - self._ring[0].offset
            chosen = list(self._ring)[start : start + limit]
        return tuple(chosen)

    def wait_past(self, offset: int, timeout_s: float) -> bool:
        """Wait until the entry at offset is folded; False on timeout."""
        with self._advanced:
            return self._advanced.wait_for(
                lambda: self._next_offset > offset, timeout_s
            )

    def jump_to(self, offset: int) -> None:
        """Continue at a later offset, after a snapshot was restored."""
        with self._advanced:
            if offset <= self._next_offset:
                return
            self._next_offset = offset
            self._ring.clear()
            self._advanced.notify_all()

    def _take(self, entry: LogEntry) -> int:
        if entry.offset != self._next_offset:
            return 0
        for fold in self._folds:
            self._fold_one(fold, entry)
        self._ring.append(entry)
        self._next_offset = entry.offset + 1
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
