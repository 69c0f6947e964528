"""Keep the held parts in the store, as all daemons may be replaced at once."""

import asyncio
from collections.abc import Callable, Iterator

import msgspec

from marigoldhoist.components.feeds.errors import (
    ConditionFailedError,
    StoreUnavailableError,
)
from marigoldhoist.components.feeds.models import (
    KeyedRecord,
    NewRecord,
    Position,
    Topic,
)
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.components.quarantine.const import STORAGE_RETRY_S
from marigoldhoist.components.quarantine.events import (
    HELD_PARTS_NOT_READ,
    HELD_PARTS_READ,
    PART_NOT_STORED,
    PART_STORED,
    QUARANTINE_REPORT_IGNORED,
)
from marigoldhoist.components.quarantine.models import (
    Count,
    HeldPart,
    TimesHeld,
)
from marigoldhoist.core.clock import SystemClock
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.decoding import decode_json
from marigoldhoist.core.events import emit


class StoredPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The record of a held part; its key is the part.

    `held_ms` is a Unix time, as the record outlives the clocks of the hosts
    that count from their start.
    """

    held_ms: int
    crashes: Count
    times_held: TimesHeld


class HeldPartStorage:
    """Reads the held parts at the start, and stores those that are found."""

    def __init__(
        self,
        feeds: FeedService,
        clock: SystemClock,
        on_read: Callable[[HeldPart], object],
    ) -> None:
        self._feeds = feeds
        self._clock = clock
        self._on_read = on_read
        self._pending_by_part: dict[str, bytes] = {}
        self._has_pending = asyncio.Event()

    def put(self, held: HeldPart) -> None:
        """Store a part soon."""
        held_for_s = self._clock.boottime_s() - held.held_s
        held_ms = self._clock.now_ms() - int(held_for_s * MS_PER_S)
        stored = StoredPart(held_ms, held.crashes, held.times_held)
        self._pending_by_part[held.part_id] = msgspec.json.encode(stored)
        self._has_pending.set()

    async def run(self) -> None:
        """Read the parts once, then store those that are put."""
        while not await self._read():
            await asyncio.sleep(STORAGE_RETRY_S)
        while True:
            await self._has_pending.wait()
            part_id = next(iter(self._pending_by_part), None)
            if part_id is None:
                self._has_pending.clear()
            elif not await self._append(part_id):
                await asyncio.sleep(STORAGE_RETRY_S)

    async def _read(self) -> bool:
        """Read the stored parts; return whether the store answered."""
        try:
            batch = await self._feeds.store.newest(Topic.QUARANTINE)
        except StoreUnavailableError as error:
            emit(HELD_PARTS_NOT_READ, reason=str(error))
            return False
        parts = list(self._decode(batch.records))
        emit(HELD_PARTS_READ, parts=len(parts))
        for held in parts:
            self._on_read(held)
        return True

    def _decode(self, records: tuple[KeyedRecord, ...]) -> Iterator[HeldPart]:
        for record in records:
            if not record.value:
                continue
            try:
                stored = decode_json(record.value, StoredPart)
            except msgspec.MsgspecError as error:
                emit(QUARANTINE_REPORT_IGNORED, reason=str(error))
                continue
            # Clocks of hosts differ, so a part may seem to be held later.
            held_for_ms = max(0, self._clock.now_ms() - stored.held_ms)
            yield HeldPart(
                record.key,
                self._clock.boottime_s() - held_for_ms / MS_PER_S,
                stored.crashes,
                stored.times_held,
            )

    async def _append(self, part_id: str) -> bool:
        """Append one part; it stays pending if that fails."""
        store = self._feeds.store
        value = self._pending_by_part[part_id]
        try:
            batch = await store.newest(Topic.QUARANTINE)
            await store.append(
                Topic.QUARANTINE,
                (NewRecord(part_id, value),),
                Position(batch.end, batch.era),
            )
        except (ConditionFailedError, StoreUnavailableError) as error:
            emit(PART_NOT_STORED, part=part_id, reason=str(error))
            return False
        emit(PART_STORED, part=part_id)
        if self._pending_by_part[part_id] == value:
            self._pending_by_part.pop(part_id)
        return True
