"""Follow one topic: the newest of each key first, then what is appended."""

import asyncio
import dataclasses
import enum
import math
from collections.abc import Callable
from typing import Final

from marigoldhoist.components.feeds.const import (
    FIRST_PAUSE_S,
    LONGEST_AGE_S,
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
from marigoldhoist.components.feeds.mirror import TopicMirror
from marigoldhoist.components.feeds.models import (
    Batch,
    KeyedRecord,
    ReadResult,
    Source,
    Topic,
)
from marigoldhoist.core.clock import SYSTEM_CLOCK, SystemClock
from marigoldhoist.core.events import emit

GROWTH: Final = 2
PEER: Final = 'peer'


@dataclasses.dataclass(frozen=True, slots=True)
class FeedPlan:
    """How a topic is followed.

    A read waits `wait_s` for a record; the next follows `pause_s` later at
    the earliest, so that records which come one by one are read together.
    A source whose news is older than `longest_age_s` is not enough.
    """

    topic: Topic
    wait_s: float
    pause_s: float = 0
    longest_age_s: float = LONGEST_AGE_S


@dataclasses.dataclass(frozen=True, slots=True)
class FeedUpdate:
    """The outcome of one successful read of a topic.

    Every change accepted before the boot time `confirmed_s` is known.
    `previously_confirmed_s` is that time before this read, negative infinity
    for the first read. If `is_whole`, the records are the newest of all keys,
    so a key that is missing no longer exists.
    """

    batch: Batch
    confirmed_s: float
    is_whole: bool
    previously_confirmed_s: float = -math.inf


class _Worth(enum.Enum):
    """What a source's answer is worth; what is relayed needs a second."""

    NOTHING = enum.auto()
    RELAYED = enum.auto()
    ENOUGH = enum.auto()


class Feed:
    """Reads a topic for ever and tells what each read found.

    The sources are asked in the order given until one is fresh enough and
    does not only relay: peers that cannot read the store could otherwise hand
    each other what they know for as long as it is not too old.
    """

    def __init__(
        self,
        plan: FeedPlan,
        sources: Callable[[], list[Source]],
        tell: Callable[[FeedUpdate], None],
        count: Callable[[str], None],
        clock: SystemClock = SYSTEM_CLOCK,
    ) -> None:
        self._plan = plan
        self._sources = sources
        self._tell = tell
        self._count = count
        self._clock = clock
        self._mirror = TopicMirror()
        self._proved_s = -math.inf
        self.is_from_peer = False
        self._lost_s: float | None = None
        self._regained_s = -math.inf
        self._pause_s = FIRST_PAUSE_S
        self._reason = ''

    @property
    def end(self) -> int | None:
        """Return the offset that follows what was read, none before."""
        return self._mirror.end

    @property
    def age_s(self) -> float:
        """Return the seconds since what was read was known to be newest."""
        return self._clock.boottime_s() - self._proved_s

    @property
    def _known_age_s(self) -> float | None:
        """Return the age for the log, none before the first read."""
        return None if math.isinf(self.age_s) else round(self.age_s, 3)

    @property
    def is_lost(self) -> bool:
        """Tell whether no source answered at the last read."""
        return self._lost_s is not None

    @property
    def healthy_for_s(self) -> float:
        """Return the seconds since a source was regained, 0 while lost."""
        if self.is_lost:
            return 0
        return self._clock.boottime_s() - self._regained_s

    def records_from(self, offset: int) -> list[KeyedRecord]:
        """Return the newest record of each key, from an offset on."""
        return self._mirror.records_from(offset)

    async def wait_for_offset(self, offset: int, wait_s: float) -> None:
        """Wait until there are records from an offset on, or for that time."""
        await self._mirror.wait_for_offset(offset, wait_s)

    async def follow(self) -> None:
        """Read until cancelled."""
        while True:
            if await self.read_once():
                self._note_sound()
                await asyncio.sleep(self._plan.pause_s)
            else:
                self._note_lost()
                await asyncio.sleep(self._pause_s)
                self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * GROWTH)

    async def read_once(self) -> bool:
        """Ask the sources in turn; tell whether one was fresh enough."""
        is_fresh = False
        for source in self._sources():
            worth = await self._ask(source)
            if worth is _Worth.ENOUGH:
                return True
            is_fresh = is_fresh or worth is _Worth.RELAYED
        return is_fresh

    async def _ask(self, source: Source) -> _Worth:
        """Ask one source; tell what its answer is worth."""
        try:
            found = await self._read_from(source)
        except HistoryLostError:
            emit(
                TOPIC_READ_ANEW,
                topic=self._plan.topic.value,
                end=self.end,
                age_s=self._known_age_s,
            )
            self._mirror.forget_end()
            self._count('history_lost')
            return _Worth.ENOUGH
        except StoreUnavailableError as error:
            self._count('failed')
            self._reason = f'{source.name}: {error}'
            return _Worth.NOTHING
        self._count(source.kind)
        if found.age_s > self._plan.longest_age_s:
            self._reason = f'{source.name}: news is {found.age_s:.1f} s old'
            return _Worth.NOTHING
        return _Worth.RELAYED if found.is_relayed else _Worth.ENOUGH

    async def _read_from(self, source: Source) -> ReadResult:
        """Read once and tell what was found."""
        sent_s = self._clock.boottime_s()
        found = await source.read(self._plan.topic, self.end, self._plan.wait_s)
        proved_s = sent_s - found.age_s
        before_s = self._proved_s
        self._proved_s = max(self._proved_s, proved_s)
        self._mirror.take(found.batch, is_whole=found.is_whole)
        self._tell(FeedUpdate(found.batch, proved_s, found.is_whole, before_s))
        self.is_from_peer = source.kind == PEER
        return found

    def _note_lost(self) -> None:
        if self._lost_s is not None:
            return
        self._lost_s = self._clock.boottime_s()
        emit(
            STORE_LOST,
            topic=self._plan.topic.value,
            reason=self._reason,
            age_s=self._known_age_s,
        )

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
