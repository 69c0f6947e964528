"""Keep a copy of a topic, from which other daemons can read."""

import asyncio
import contextlib

from marigoldhoist.components.feeds.models import (
    Batch,
    KeyedRecord,
    Position,
)


class TopicMirror:
    """The newest record of each key, with tombstones for removed keys."""

    def __init__(self) -> None:
        self._record_by_key: dict[str, KeyedRecord] = {}
        self._changed = asyncio.Event()
        self._end: int | None = None
        self._era: int | None = None

    @property
    def position(self) -> Position | None:
        """Return the next position to read, None to read the whole topic."""
        return None if self._end is None else Position(self._end, self._era)

    def apply(self, batch: Batch, *, is_whole: bool) -> None:
        """Apply the records of one read.

        A whole read has the newest records of all keys, so other keys become
        tombstones. One of another era replaces all records.
        """
        is_new_era = batch.era != self._era
        if is_new_era:
            self._record_by_key.clear()
            self._era = batch.era
            self._end = None
        if is_whole:
            self._add_tombstones(
                {record.key for record in batch.records}, batch
            )
        for record in batch.records:
            known = self._record_by_key.get(record.key)
            if known is None or record.offset >= known.offset:
                self._record_by_key[record.key] = record
        has_more = is_new_era or self._end is None or batch.end > self._end
        self._end = max(self._end or 0, batch.end)
        if has_more:
            self._changed.set()
            self._changed = asyncio.Event()

    def reset_end(self) -> None:
        """Request a read of the whole topic, because history was lost."""
        self._end = None

    def records_from(self, offset: int) -> list[KeyedRecord]:
        """Return the newest records in offset order, starting at an offset."""
        found = [
            record
            for record in self._record_by_key.values()
            if record.offset >= offset
        ]
        return sorted(found, key=_offset)

    async def wait_for_records(self, start: Position, wait_s: float) -> None:
        """Wait for records from a position on, for at most `wait_s`.

        The wait also ends once the position is of another era.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._has_records(start):
                    await self._changed.wait()

    def _has_records(self, start: Position) -> bool:
        if self._end is None:
            return False
        return self._era != start.era or self._end > start.offset

    def _add_tombstones(self, present_keys: set[str], batch: Batch) -> None:
        tombstone_offset = max(0, batch.end - 1)
        for key in set(self._record_by_key).difference(present_keys):
            self._record_by_key[key] = KeyedRecord(key, None, tombstone_offset)


def _offset(record: KeyedRecord) -> int:
    return record.offset
