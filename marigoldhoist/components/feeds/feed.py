"""Follow a topic: read the newest record of each key, then the appends."""

import asyncio
import contextlib
import dataclasses
import enum
import math
from collections.abc import Callable
from typing import Final

from marigoldhoist.components.feeds.const import MAX_STALENESS_S
from marigoldhoist.components.feeds.eras import EraTracker
from marigoldhoist.components.feeds.errors import (
    HistoryLostError,
    StoreUnavailableError,
)
from marigoldhoist.components.feeds.events import (
    READ_TRUNCATED,
    TOPIC_READ_ANEW,
)
from marigoldhoist.components.feeds.feed_health import FeedHealth
from marigoldhoist.components.feeds.mirror import TopicMirror
from marigoldhoist.components.feeds.models import (
    Batch,
    KeyedRecord,
    Position,
    ReadResult,
    Source,
    Topic,
)
from marigoldhoist.components.feeds.queries import Query, SourceQueries
from marigoldhoist.core.clock import SYSTEM_CLOCK, SystemClock
from marigoldhoist.core.events import emit

PEER: Final = 'peer'


@dataclasses.dataclass(frozen=True, slots=True)
class FeedPlan:
    """The parameters with which a topic is followed.

    A read is a long poll of up to `wait_s`. The next read starts at least
    `pause_s` later, so that records appended in quick succession are read
    together. If the answer of a source is older than `max_staleness_s`, the
    next source is queried.
    """

    topic: Topic
    wait_s: float
    pause_s: float = 0
    max_staleness_s: float = MAX_STALENESS_S


@dataclasses.dataclass(frozen=True, slots=True)
class FeedUpdate:
    """The outcome of one successful read of a topic.

    Every change accepted before the boot time `confirmed_s` is known. A read
    that does not reach the end of the topic confirms nothing.
    `previously_confirmed_s` is that time before this read, negative infinity
    for the first read. If `is_whole`, the records are the newest of all keys,
    so a key that is missing no longer exists. If `is_new_era`, the source was
    restored from an older copy: records may be older than those known before,
    and keys may be missing until their writers write them again. `source` is
    the name of the source that was read.
    """

    batch: Batch
    confirmed_s: float
    is_whole: bool
    previously_confirmed_s: float = -math.inf
    is_new_era: bool = False
    source: str = ''


class _Outcome(enum.Enum):
    """The outcome of querying a source.

    After a relayed answer, the remaining sources are queried as well.
    """

    UNUSABLE = enum.auto()
    RELAYED = enum.auto()
    SUFFICIENT = enum.auto()


class Feed:
    """Reads a topic continuously and reports each read to a callback.

    The sources are queried in order until an answer is fresh enough and not
    relayed; a silent one does not hold up the next. Relayed answers do not
    suffice, because peers that cannot reach the store would otherwise relay the
    same records to each other until they are too old.
    """

    def __init__(
        self,
        plan: FeedPlan,
        sources: Callable[[], list[Source]],
        on_update: Callable[[FeedUpdate], None],
        count_outcome: Callable[[str], None],
        clock: SystemClock = SYSTEM_CLOCK,
    ) -> None:
        self._plan = plan
        self._sources = sources
        self._on_update = on_update
        self._count_outcome = count_outcome
        self._clock = clock
        self._mirror = TopicMirror()
        self._eras = EraTracker(plan.topic, clock.boottime_s)
        self._confirmed_s = -math.inf
        self._is_truncated = False
        self.is_from_peer = False
        self._health = FeedHealth(plan.topic, clock)
        self._reason_by_source: dict[str, str] = {}
        self._queries = SourceQueries(plan.topic, clock)

    @property
    def position(self) -> Position | None:
        """Return the next position to read, None to read the whole topic."""
        return self._mirror.position

    @property
    def era(self) -> int | None:
        """Return the era of the newest answer, None if it reported none."""
        return self._eras.current

    @property
    def is_settling(self) -> bool:
        """Return whether the era changed too recently to confirm records."""
        return self._eras.is_settling

    @property
    def age_s(self) -> float:
        """Return the seconds since the records were confirmed as the newest."""
        return self._clock.boottime_s() - self._confirmed_s

    @property
    def _known_age_s(self) -> float | None:
        """Return the rounded age for the log, None before the first read."""
        return None if math.isinf(self.age_s) else round(self.age_s, 3)

    @property
    def is_lost(self) -> bool:
        """Return whether reads fail, or have left records unread since."""
        return self._health.is_lost

    @property
    def healthy_for_s(self) -> float:
        """Return the seconds since reads succeed again, 0 while they fail.

        A change of the era counts as a failure. Infinite if no read has failed
        so far.
        """
        return min(self._health.healthy_for_s, self._eras.age_s)

    def records_from(self, offset: int) -> list[KeyedRecord]:
        """Return the newest record of each key, starting at an offset."""
        return self._mirror.records_from(offset)

    async def wait_for_records(self, start: Position, wait_s: float) -> None:
        """Wait for records from a position on, for at most `wait_s`."""
        await self._mirror.wait_for_records(start, wait_s)

    async def follow(self) -> None:
        """Read the topic until cancelled."""
        try:
            while True:
                is_usable = await self.read_once()
                await asyncio.sleep(self._pause_after_read(is_usable))
        finally:
            self._queries.cancel()

    async def read_once(self) -> bool:
        """Query the sources in order; return whether an answer was usable."""
        is_usable = False
        self._reason_by_source.clear()
        self._queries.position = self.position
        answered = self._queries.answered(self._sources(), self._plan.wait_s)
        async with contextlib.aclosing(answered):
            async for query in answered:
                outcome = self._take(query)
                self._queries.position = self.position
                if outcome is _Outcome.SUFFICIENT:
                    self.is_from_peer = query.source.kind == PEER
                    return True
                is_usable = is_usable or outcome is _Outcome.RELAYED
        # Set only now: while the sources are queried, other daemons still get
        # what the last read from the store confirmed.
        self.is_from_peer = self.is_from_peer or is_usable
        return is_usable

    def _take(self, query: Query) -> _Outcome:
        """Apply the answer to a query and return the outcome."""
        try:
            result = self._apply(query, query.task.result())
        except HistoryLostError:
            emit(
                TOPIC_READ_ANEW,
                topic=self._plan.topic.value,
                end=self._mirror.position and self._mirror.position.offset,
                age_s=self._known_age_s,
            )
            self._mirror.reset_end()
            self._count_outcome('history_lost')
            return _Outcome.SUFFICIENT
        except StoreUnavailableError as error:
            self._count_outcome('failed')
            self._reason_by_source[query.source.name] = query.described(error)
            return _Outcome.UNUSABLE
        self._count_outcome(query.source.kind)
        if result.is_settling:
            return _Outcome.SUFFICIENT
        if result.age_s > self._plan.max_staleness_s:
            self._reason_by_source[query.source.name] = query.described(
                f'news is {result.age_s:.1f} s old'
            )
            return _Outcome.UNUSABLE
        return _Outcome.RELAYED if result.is_relayed else _Outcome.SUFFICIENT

    def _apply(self, query: Query, result: ReadResult) -> ReadResult:
        """Apply the answer to a query and report it."""
        self._eras.require_usable(query.source.name, query.position, result)
        if result.is_whole and query.position != self.position:
            # Its keys may be older than those that were read meanwhile.
            raise StoreUnavailableError('overtaken by another answer')
        is_new_era = self._eras.advance(query.source.name, result.batch)
        if is_new_era:
            self._count_outcome('era_changed')
        previously_confirmed_s = self._confirmed_s
        confirmed_s = query.sent_s - result.age_s
        self._is_truncated = result.batch.is_truncated
        if self._is_truncated:
            self._note_truncated(result.batch)
        if result.is_settling or self.is_settling or self._is_truncated:
            # There may be newer records: lost ones that were not written again
            # yet, or those behind the end of the answer.
            confirmed_s = previously_confirmed_s
        self._confirmed_s = max(self._confirmed_s, confirmed_s)
        self._mirror.apply(result.batch, is_whole=result.is_whole)
        self._on_update(
            FeedUpdate(
                result.batch,
                confirmed_s,
                result.is_whole,
                previously_confirmed_s,
                is_new_era,
                query.source.name,
            )
        )
        return result

    def _note_truncated(self, batch: Batch) -> None:
        """Note that the source has more records than it returned."""
        self._count_outcome('truncated')
        emit(
            READ_TRUNCATED,
            topic=self._plan.topic.value,
            records=len(batch.records),
            end=batch.end,
            age_s=self._known_age_s,
        )

    def _pause_after_read(self, is_usable: bool) -> float:
        """Note the outcome of a read; return the pause until the next."""
        if not is_usable:
            return self._health.note_lost(
                self._reason_by_source, self._known_age_s
            )
        if self._is_truncated:
            # The rest is read before the feed counts as healthy.
            return 0
        self._health.note_healthy()
        return self._plan.pause_s
