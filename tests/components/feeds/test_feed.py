"""Feeds: what is read first, what follows, and how old it is."""

import asyncio
from collections.abc import Iterable

import pytest

from marigoldhoist.components.feeds.errors import (
    HistoryLostError,
    StoreUnavailableError,
)
from marigoldhoist.components.feeds.feed import Feed, FeedPlan, FeedUpdate
from marigoldhoist.components.feeds.models import (
    Batch,
    KeyedRecord,
    ReadResult,
    Source,
    Topic,
)
from marigoldhoist.core.clock import SystemClock

PLAN = FeedPlan(Topic.OPERATOR, wait_s=1)


class HeldClock(SystemClock):
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def boottime_s(self) -> float:
        """Return the time that the test has set."""
        return self.now_s


class ScriptedSource:
    """Gives what it was told to, or fails; each read takes a second."""

    kind = 'store'

    def __init__(
        self,
        clock: HeldClock,
        name: str,
        script: Iterable[ReadResult | Exception],
    ) -> None:
        self.name = name
        self.asked: list[int | None] = []
        self._clock = clock
        self._script = iter(script)

    async def read(
        self, _topic: Topic, offset: int | None, _wait_s: float
    ) -> ReadResult:
        """Give the next of the script."""
        self.asked.append(offset)
        self._clock.now_s += 1
        given = next(self._script)
        if isinstance(given, Exception):
            raise given
        return given


class Following:
    """A feed over scripted sources, and what it told."""

    def __init__(self) -> None:
        self.clock = HeldClock()
        self.told: list[FeedUpdate] = []
        self.counted: list[str] = []
        self.sources: list[ScriptedSource] = []
        self.feed = Feed(
            PLAN,
            self._in_order,
            self.told.append,
            self.counted.append,
            self.clock,
        )

    def add(self, name: str, *script: ReadResult | Exception) -> ScriptedSource:
        """Add a source that is asked after those before it."""
        source = ScriptedSource(self.clock, name, script)
        self.sources.append(source)
        return source

    def read(self) -> bool:
        """Read once."""
        return asyncio.run(self.feed.read_once())

    def _in_order(self) -> list[Source]:
        return list(self.sources)


def given(
    end: int,
    *keys: str,
    age_s: float = 0,
    whole: bool = False,
    relayed: bool = False,
) -> ReadResult:
    """Return a read that ends at an offset, one record a key before it."""
    records = tuple(
        KeyedRecord(key, b'x', end - len(keys) + index)
        for index, key in enumerate(keys)
    )
    return ReadResult(
        Batch(records, end), age_s, is_whole=whole, is_relayed=relayed
    )


class TestOrder:
    """What a feed asks for."""

    def test_whole_topic_first_then_from_its_end(self) -> None:
        following = Following()
        source = following.add('s', given(5, 'a', whole=True), given(7, 'b'))
        following.read()
        following.read()
        assert source.asked == [None, 5]
        assert [news.is_whole for news in following.told] == [True, False]

    def test_lost_history_is_read_whole_again(self) -> None:
        following = Following()
        source = following.add(
            's',
            given(5, 'a', whole=True),
            HistoryLostError('gone'),
            given(9, 'a', whole=True),
        )
        for _ in range(3):
            following.read()
        assert source.asked == [None, 5, None]
        assert following.feed.end == 9

    def test_next_source_is_asked_where_one_fails(self) -> None:
        following = Following()
        following.add('s', StoreUnavailableError('down'))
        peer = following.add('p', given(5, 'a', whole=True))
        assert following.read()
        assert peer.asked == [None]

    def test_next_source_is_asked_where_one_is_too_old(self) -> None:
        following = Following()
        following.add('p', given(5, 'a', age_s=9, whole=True))
        store = following.add('s', given(6, 'b'))
        assert following.read()
        assert store.asked == [5]

    def test_next_source_is_asked_where_a_peer_relays(self) -> None:
        following = Following()
        following.add('p', given(5, 'a', whole=True, relayed=True))
        store = following.add('s', given(6, 'b'))
        assert following.read()
        assert store.asked == [5]

    def test_relayed_news_is_enough_where_nothing_better_is_left(
        self,
    ) -> None:
        following = Following()
        following.add('p', given(5, 'a', whole=True, relayed=True))
        following.add('s', StoreUnavailableError('down'))
        assert following.read()

    def test_old_news_is_taken_where_nothing_better_is_left(self) -> None:
        following = Following()
        following.add('p', given(5, 'a', age_s=9, whole=True))
        following.add('s', StoreUnavailableError('down'))
        assert not following.read()
        assert following.feed.end == 5


class TestAge:
    """How old a feed says its news is."""

    def test_counts_from_when_the_read_was_sent(self) -> None:
        following = Following()
        following.add('s', given(5, whole=True))
        following.read()
        assert following.feed.age_s == pytest.approx(1)

    def test_adds_the_age_that_a_peer_gave(self) -> None:
        following = Following()
        following.add('p', given(5, age_s=1.5, whole=True))
        following.read()
        assert following.feed.age_s == pytest.approx(2.5)

    def test_older_news_does_not_make_it_older(self) -> None:
        following = Following()
        following.add('p', given(5, whole=True), given(5, age_s=2.3))
        following.read()
        following.read()
        assert following.feed.age_s == pytest.approx(2)


class TestMirror:
    """What other daemons get of a feed."""

    def test_newest_record_of_each_key_from_an_offset_on(self) -> None:
        following = Following()
        following.add(
            's', given(3, 'a', 'b', 'c', whole=True), given(5, 'a', 'd')
        )
        following.read()
        following.read()
        found = following.feed.records_from(2)
        assert [record.key for record in found] == ['c', 'a', 'd']

    def test_key_that_is_not_named_by_a_whole_read_is_gone(self) -> None:
        following = Following()
        following.add(
            's',
            given(3, 'a', 'b', whole=True),
            HistoryLostError('gone'),
            given(9, 'b', whole=True),
        )
        for _ in range(3):
            following.read()
        gone = [
            one for one in following.feed.records_from(0) if one.value is None
        ]
        assert [record.key for record in gone] == ['a']
