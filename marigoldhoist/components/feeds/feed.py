"""Follow one topic: the newest of each key first, then what is appended."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Final

from marigoldhoist.components.feeds.const import (
    FIRST_PAUSE_S,
    LONGEST_PAUSE_S,
)
from marigoldhoist.components.feeds.errors import (
    HistoryLostError,
    StoreUnavailableError,
)
from marigoldhoist.components.feeds.events import (
    STORE_LOST,
    STORE_REGAINED,
    TOPIC_READ_ANEW,
)
from marigoldhoist.components.feeds.models import Batch, Store, Topic
from marigoldhoist.core.clock import SYSTEM_CLOCK, SystemClock
from marigoldhoist.core.events import emit

GROWTH: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class FeedPlan:
    """How a topic is followed.

    A read waits `wait_s` for a record; the next follows `pause_s` later at
    the earliest, so that records which come one by one are read together.
    """

    topic: Topic
    wait_s: float
    pause_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FeedNews:
    """What one read told.

    `sent_s` is the boot time at which it was sent; `is_whole` tells that the
    records are the newest of all keys, so that keys not named are gone.
    """

    batch: Batch
    sent_s: float
    is_whole: bool


class Feed:
    """Reads a topic for ever and tells what each read found."""

    def __init__(
        self,
        plan: FeedPlan,
        store: Store,
        tell: Callable[[FeedNews], None],
        count: Callable[[str], None],
        clock: SystemClock = SYSTEM_CLOCK,
    ) -> None:
        self._plan = plan
        self._store = store
        self._tell = tell
        self._count = count
        self._clock = clock
        self._end: int | None = None
        self._lost_s: float | None = None
        self._regained_s = float('-inf')
        self._pause_s = FIRST_PAUSE_S

    @property
    def end(self) -> int | None:
        """Return the offset that follows what was read, none before."""
        return self._end

    @property
    def is_lost(self) -> bool:
        """Tell whether the last call failed."""
        return self._lost_s is not None

    @property
    def sound_for_s(self) -> float:
        """Return the seconds since the store was regained, 0 while lost."""
        if self.is_lost:
            return 0
        return self._clock.boottime_s() - self._regained_s

    async def follow(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                await self.read_once()
            except StoreUnavailableError as error:
                self._count('failed')
                self._note_lost(str(error))
                await asyncio.sleep(self._pause_s)
                self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * GROWTH)
            else:
                await asyncio.sleep(self._plan.pause_s)

    async def read_once(self) -> None:
        """Read once and tell what was found."""
        sent_s = self._clock.boottime_s()
        is_whole = self._end is None
        try:
            batch = await self._read()
        except HistoryLostError:
            self._end = None
            self._count('history_lost')
            emit(TOPIC_READ_ANEW, topic=self._plan.topic.value)
            return
        self._note_sound()
        self._count('read')
        self._end = batch.end
        self._tell(FeedNews(batch, sent_s, is_whole))

    async def _read(self) -> Batch:
        if self._end is None:
            return await self._store.newest(self._plan.topic)
        return await self._store.read(
            self._plan.topic, self._end, self._plan.wait_s
        )

    def _note_lost(self, reason: str) -> None:
        if self._lost_s is not None:
            return
        self._lost_s = self._clock.boottime_s()
        emit(STORE_LOST, topic=self._plan.topic.value, reason=reason)

    def _note_sound(self) -> None:
        self._pause_s = FIRST_PAUSE_S
        if self._lost_s is None:
            return
        now_s = self._clock.boottime_s()
        emit(
            STORE_REGAINED,
            topic=self._plan.topic.value,
            lost_for_s=round(now_s - self._lost_s, 3),
        )
        self._lost_s = None
        self._regained_s = now_s
