"""Tests of feeds: the order of reads, the age and the mirrored records."""

import asyncio
import functools

import pytest

from marigoldhoist.components.feeds.errors import (
    HistoryLostError,
    StoreUnavailableError,
)
from marigoldhoist.components.feeds.models import (
    Position,
    ReadResult,
    Topic,
)
from tests.components.feeds.scripted_feed import (
    Fixture,
    ScriptedSource,
    result,
)

TEST_TIMEOUT_S = 10


class TestOrder:
    """Feeds read the whole topic first and query the sources in order."""

    def test_whole_topic_is_read_first_then_its_appends(self) -> None:
        fixture = Fixture()
        source = fixture.add('s', result(5, 'a', is_whole=True), result(7, 'b'))
        fixture.read()
        fixture.read()
        assert source.offsets_read == [None, 5]
        assert [update.is_whole for update in fixture.updates] == [True, False]

    def test_whole_topic_is_read_again_after_lost_history(self) -> None:
        fixture = Fixture()
        source = fixture.add(
            's',
            result(5, 'a', is_whole=True),
            HistoryLostError('gone'),
            result(9, 'a', is_whole=True),
        )
        for _ in range(3):
            fixture.read()
        assert source.offsets_read == [None, 5, None]
        assert fixture.feed.position == Position(9)

    def test_next_source_is_asked_after_a_failure(self) -> None:
        fixture = Fixture()
        fixture.add('s', StoreUnavailableError('down'))
        peer = fixture.add('p', result(5, 'a', is_whole=True))
        assert fixture.read()
        assert peer.offsets_read == [None]

    def test_next_source_is_asked_after_a_stale_answer(self) -> None:
        fixture = Fixture()
        fixture.add('p', result(5, 'a', age_s=9, is_whole=True))
        store = fixture.add('s', result(6, 'b'))
        assert fixture.read()
        assert store.offsets_read == [5]

    def test_next_source_is_asked_after_a_relayed_answer(self) -> None:
        fixture = Fixture()
        fixture.add('p', result(5, 'a', is_whole=True, is_relayed=True))
        store = fixture.add('s', result(6, 'b'))
        assert fixture.read()
        assert store.offsets_read == [5]

    def test_relayed_answer_is_usable_without_a_better_one(
        self,
    ) -> None:
        fixture = Fixture()
        fixture.add('p', result(5, 'a', is_whole=True, is_relayed=True))
        fixture.add('s', StoreUnavailableError('down'))
        assert fixture.read()

    def test_stale_answer_is_applied_but_not_usable(self) -> None:
        fixture = Fixture()
        fixture.add('p', result(5, 'a', age_s=9, is_whole=True))
        fixture.add('s', StoreUnavailableError('down'))
        assert not fixture.read()
        assert fixture.feed.position == Position(5)


class SilentSource(ScriptedSource):
    """A source that answers only once the test has released it."""

    @functools.cached_property
    def released(self) -> asyncio.Event:
        """Return the event that lets the source answer."""
        return asyncio.Event()

    async def read(
        self, topic: Topic, position: Position | None, wait_s: float
    ) -> ReadResult:
        """Return the next item of the script after a while."""
        item = await super().read(topic, position, wait_s)
        await self.released.wait()
        return item


class TestSilentSource:
    """A source that gives no answer does not hold up the others."""

    def test_next_source_is_asked_while_others_are_silent(self) -> None:
        async def scenario() -> bool:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                return await fixture.feed.read_once()

        fixture = Fixture()
        for name in ('reader', 'deputy'):
            silent = SilentSource(fixture.clock, name, [result(1)])
            fixture.sources.append(silent)
        fixture.add('s', result(5, 'a', is_whole=True))
        assert asyncio.run(scenario())
        assert fixture.feed.position == Position(5)

    def test_late_answer_is_not_applied(self) -> None:
        async def scenario() -> None:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await fixture.feed.read_once()
            silent.released.set()
            await asyncio.sleep(0)

        fixture = Fixture()
        silent = SilentSource(
            fixture.clock, 'reader', [result(2, 'old', is_whole=True)]
        )
        fixture.sources.append(silent)
        fixture.add('s', result(5, 'a', is_whole=True))
        asyncio.run(scenario())
        assert [update.batch.end for update in fixture.updates] == [5]

    def test_answer_of_a_silent_source_is_waited_for_without_others(
        self,
    ) -> None:
        async def scenario() -> bool:
            read = asyncio.create_task(fixture.feed.read_once())
            await asyncio.sleep(0)
            silent.released.set()
            return await read

        fixture = Fixture()
        silent = SilentSource(fixture.clock, 's', [result(2, is_whole=True)])
        fixture.sources.append(silent)
        assert asyncio.run(scenario())


class TestRelayed:
    """A feed says whether its last read came from the store."""

    def test_asking_a_relaying_reader_first_changes_nothing(self) -> None:
        fixture = Fixture()
        reader = result(5, 'a', is_whole=True, is_relayed=True)
        fixture.add('reader', reader).kind = 'peer'
        seen = []
        store = fixture.add('store', result(6, 'b'))
        store.on_read = lambda: seen.append(fixture.feed.is_from_peer)
        fixture.read()
        assert seen == [False]
        assert not fixture.feed.is_from_peer

    def test_only_relayed_answers(self) -> None:
        fixture = Fixture()
        reader = result(5, 'a', is_whole=True, is_relayed=True)
        fixture.add('reader', reader).kind = 'peer'
        fixture.add('store', StoreUnavailableError('down'))
        fixture.read()
        assert fixture.feed.is_from_peer


class TestAge:
    """The age of the records that a feed reports."""

    def test_is_measured_from_sending_the_read(self) -> None:
        fixture = Fixture()
        fixture.add('s', result(5, is_whole=True))
        fixture.read()
        assert fixture.feed.age_s == pytest.approx(1)

    def test_includes_the_age_reported_by_a_peer(self) -> None:
        fixture = Fixture()
        fixture.add('p', result(5, age_s=1.5, is_whole=True))
        fixture.read()
        assert fixture.feed.age_s == pytest.approx(2.5)

    def test_older_answer_does_not_increase_it(self) -> None:
        fixture = Fixture()
        fixture.add('p', result(5, is_whole=True), result(5, age_s=2.3))
        fixture.read()
        fixture.read()
        assert fixture.feed.age_s == pytest.approx(2)


class TestTruncated:
    """An answer that does not reach the end of the topic."""

    def test_does_not_confirm_the_records(self) -> None:
        # Guards against a withdrawn key that works again after a cut.
        fixture = Fixture()
        fixture.add(
            's', result(5, is_whole=True), result(7, 'a', is_truncated=True)
        )
        fixture.read()
        fixture.clock.now_s += 6
        fixture.read()
        assert fixture.feed.position == Position(7)
        assert fixture.feed.age_s == pytest.approx(8)
        assert fixture.updates[-1].confirmed_s == fixture.updates[0].confirmed_s
        assert fixture.outcomes[-1] == 'store'

    def test_feed_is_lost_until_the_rest_was_read(self) -> None:
        async def scenario() -> list[bool]:
            follow = asyncio.create_task(fixture.feed.follow())
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await all_read.wait()
            follow.cancel()
            return was_lost

        fixture = Fixture()
        all_read = asyncio.Event()
        was_lost: list[bool] = []
        source = fixture.add(
            's',
            StoreUnavailableError('down'),
            result(7, 'a', is_whole=True, is_truncated=True),
            result(9, 'b'),
            StoreUnavailableError('down'),
        )

        def note_read() -> None:
            was_lost.append(fixture.feed.is_lost)
            if len(was_lost) == 4:
                all_read.set()

        source.on_read = note_read
        assert asyncio.run(scenario()) == [False, True, True, False]


class TestMirror:
    """The records that other daemons read from a feed."""

    def test_gives_the_newest_record_of_each_key_in_order(self) -> None:
        fixture = Fixture()
        fixture.add(
            's', result(3, 'a', 'b', 'c', is_whole=True), result(5, 'a', 'd')
        )
        fixture.read()
        fixture.read()
        found = fixture.feed.records_from(2)
        assert [record.key for record in found] == ['c', 'a', 'd']

    def test_key_missing_from_a_whole_read_is_a_tombstone(self) -> None:
        fixture = Fixture()
        fixture.add(
            's',
            result(3, 'a', 'b', is_whole=True),
            HistoryLostError('gone'),
            result(9, 'b', is_whole=True),
        )
        for _ in range(3):
            fixture.read()
        tombstones = [
            record
            for record in fixture.feed.records_from(0)
            if record.value is None
        ]
        assert [record.key for record in tombstones] == ['a']
