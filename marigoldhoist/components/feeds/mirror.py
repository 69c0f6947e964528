"""What a feed has read of its topic, kept for other daemons."""

import asyncio
import contextlib

from marigoldhoist.components.feeds.models import Batch, KeyedRecord


class TopicMirror:
    """The newest record of each key; keys that are gone stay as such."""

    def __init__(self) -> None:
        self._record_by_key: dict[str, KeyedRecord] = {}
        self._changed = asyncio.Event()
        self._end: int | None = None

    @property
    def end(self) -> int | None:
        """Return the offset to read on from, none to read everything."""
        return self._end

    def take(self, batch: Batch, *, is_whole: bool) -> None:
        """Take in what one read found."""
        if is_whole:
            self._drop_all_but({record.key for record in batch.records}, batch)
        for record in batch.records:
            known = self._record_by_key.get(record.key)
            if known is None or record.offset >= known.offset:
                self._record_by_key[record.key] = record
        has_more = self._end is None or batch.end > self._end
        self._end = max(self._end or 0, batch.end)
        if has_more:
            self._changed.set()
            self._changed = asyncio.Event()

    def forget_end(self) -> None:
        """Have everything read anew, as history was lost."""
        self._end = None

    def records_from(self, offset: int) -> list[KeyedRecord]:
        """Return the newest records in offset order, from an offset on."""
        found = [
            record
            for record in self._record_by_key.values()
            if record.offset >= offset
        ]
        return sorted(found, key=_offset)

    async def wait_for_offset(self, offset: int, wait_s: float) -> None:
        """Wait until there are records from an offset on, or for that time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self._end is None or self._end <= offset:
                    await self._changed.wait()

    def _drop_all_but(self, keys: set[str], batch: Batch) -> None:
        gone_at = max(0, batch.end - 1)
        for key in set(self._record_by_key).difference(keys):
            self._record_by_key[key] = KeyedRecord(key, None, gone_at)


def _offset(record: KeyedRecord) -> int:
    return record.offset
