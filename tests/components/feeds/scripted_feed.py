"""A feed over sources with scripted answers."""

import asyncio
from collections.abc import Callable, Iterable

from marigoldhoist.components.feeds.feed import Feed, FeedPlan, FeedUpdate
from marigoldhoist.components.feeds.models import (
    Batch,
    KeyedRecord,
    Position,
    ReadResult,
    Source,
    Topic,
)
from marigoldhoist.core.clock import SystemClock

PLAN = FeedPlan(Topic.OPERATOR, wait_s=0.1)


class ManualClock(SystemClock):
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def boottime_s(self) -> float:
        """Return the time set by the test, in seconds."""
        return self.now_s


class ScriptedSource:
    """A source with scripted results or errors; each read takes a second."""

    def __init__(
        self,
        clock: ManualClock,
        name: str,
        script: Iterable[ReadResult | Exception],
    ) -> None:
        self.name = name
        self.kind = 'store'
        self.max_wait_s = 1.0
        self.on_read: Callable[[], object] = bool
        self.offsets_read: list[int | None] = []
        self._clock = clock
        self._script = iter(script)

    async def read(
        self, _topic: Topic, position: Position | None, _wait_s: float
    ) -> ReadResult:
        """Return or raise the next item of the script."""
        self.offsets_read.append(position.offset if position else None)
        self._clock.now_s += 1
        self.on_read()
        item = next(self._script)
        if isinstance(item, Exception):
            raise item
        return item


class Fixture:
    """A feed over scripted sources, with the updates that it reported."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.updates: list[FeedUpdate] = []
        self.outcomes: list[str] = []
        self.sources: list[ScriptedSource] = []
        self.feed = Feed(
            PLAN,
            self._ordered_sources,
            self.updates.append,
            self.outcomes.append,
            self.clock,
        )

    def add(self, name: str, *script: ReadResult | Exception) -> ScriptedSource:
        """Add a source to the end of the order."""
        source = ScriptedSource(self.clock, name, script)
        self.sources.append(source)
        return source

    def read(self) -> bool:
        """Read once; return whether an answer was usable."""
        return asyncio.run(self.feed.read_once())

    def _ordered_sources(self) -> list[Source]:
        return list(self.sources)


def result(
    end: int,
    *keys: str,
    age_s: float = 0,
    is_whole: bool = False,
    is_relayed: bool = False,
    is_settling: bool = False,
    is_truncated: bool = False,
    era: int | None = None,
) -> ReadResult:
    """Return a result with one record per key, up to the end offset."""
    records = tuple(
        KeyedRecord(key, b'x', end - len(keys) + index)
        for index, key in enumerate(keys)
    )
    return ReadResult(
        Batch(records, end, era, is_truncated),
        age_s,
        is_whole=is_whole,
        is_relayed=is_relayed,
        is_settling=is_settling,
    )
