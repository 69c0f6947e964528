"""The store client against a fake store on loopback."""

import asyncio

import pytest

from marigoldhoist.components.feeds.errors import (
    ConditionFailedError,
    HistoryLostError,
    StoreUnavailableError,
)
from marigoldhoist.components.feeds.feed import Feed, FeedPlan, FeedUpdate
from marigoldhoist.components.feeds.models import (
    Batch,
    NewRecord,
    Position,
    Topic,
)
from marigoldhoist.components.feeds.service import StoreSource
from marigoldhoist.platform.store import (
    NewestItem,
    NewestPage,
    PlatformStore,
    page_records,
)
from tests.platform.harness import HOST
from tools.platform_standins.store import STATUS_TOPIC, StandInStore, StoreFault

# More than fits into one answer of the store.
LARGE_VALUE = b'x' * 250_000
LARGE_RECORDS = 6


async def start_store() -> tuple[StandInStore, PlatformStore]:
    """Return a fake store with two records and a client for it."""
    fake_store = StandInStore()
    await fake_store.start(HOST)
    await fake_store.put_raw(STATUS_TOPIC, 'a', b'1')
    await fake_store.put_raw(STATUS_TOPIC, 'b', b'2')
    return fake_store, PlatformStore(fake_store.address)


class TestPages:
    """A page of the newest records."""

    def test_value_that_is_no_base64_spoils_no_other(self) -> None:
        items = [NewestItem('a', 'x', 0), NewestItem('b', 'aGk=', 1)]
        records = list(page_records(NewestPage(items, False, 2)))
        assert [record.key for record in records] == ['a', 'b']
        assert records[1].value == b'hi'


class TestReads:
    """Reads of the newest records and of the log tail."""

    def test_newest_then_tail(self) -> None:
        async def scenario() -> tuple[Batch, Batch]:
            fake_store, store = await start_store()
            whole = await store.newest(Topic.STATUS)
            await fake_store.put_raw(STATUS_TOPIC, 'a', b'')
            tail = await store.read(Topic.STATUS, whole.end, 1)
            fake_store.stop()
            return whole, tail

        whole, tail = asyncio.run(scenario())
        assert {record.key: record.value for record in whole.records} == {
            'a': b'1',
            'b': b'2',
        }
        assert (whole.end, tail.end) == (2, 3)
        assert [(record.key, record.value) for record in tail.records] == [
            ('a', None)
        ]

    def test_read_waits_for_a_record(self) -> None:
        async def scenario() -> Batch:
            fake_store, store = await start_store()
            reading = asyncio.create_task(store.read(Topic.STATUS, 2, 2))
            await asyncio.sleep(0.05)
            await fake_store.put_raw(STATUS_TOPIC, 'c', b'3')
            batch = await reading
            fake_store.stop()
            return batch

        assert [record.key for record in asyncio.run(scenario()).records] == [
            'c'
        ]

    def test_offset_that_is_no_longer_retained(self) -> None:
        async def scenario() -> None:
            fake_store, store = await start_store()
            fake_store.topic_by_name[STATUS_TOPIC].compact()
            try:
                await store.read(Topic.STATUS, 0, 0)
            finally:
                fake_store.stop()

        with pytest.raises(HistoryLostError):
            asyncio.run(scenario())

    def test_answer_that_is_cut_at_its_size_limit_is_marked(self) -> None:
        async def scenario() -> tuple[Batch, Batch]:
            fake_store, store = await start_store()
            for _ in range(LARGE_RECORDS):
                await fake_store.put_raw(STATUS_TOPIC, 'c', LARGE_VALUE)
            first = await store.read(Topic.STATUS, 0, 0)
            rest = await store.read(Topic.STATUS, first.end, 0)
            fake_store.stop()
            return first, rest

        first, rest = asyncio.run(scenario())
        assert (first.is_truncated, rest.is_truncated) == (True, False)
        assert rest.end == LARGE_RECORDS + 2

    def test_read_without_the_records_that_exist_is_an_error(self) -> None:
        async def scenario() -> None:
            fake_store, store = await start_store()
            # The store never splits a record.
            await fake_store.put_raw(STATUS_TOPIC, 'c', LARGE_VALUE * 5)
            try:
                await store.read(Topic.STATUS, 2, 0)
            finally:
                fake_store.stop()

        with pytest.raises(StoreUnavailableError, match='topic ends at 3'):
            asyncio.run(scenario())


class TestTruncatedRead:
    """A feed whose history is longer than one read."""

    def test_only_the_rest_confirms_the_records(self) -> None:
        async def scenario() -> tuple[float, float]:
            fake_store, store = await start_store()
            updates: list[FeedUpdate] = []
            feed = Feed(
                FeedPlan(Topic.STATUS, wait_s=0),
                lambda: [StoreSource(store)],
                updates.append,
                lambda _outcome: None,
            )
            await feed.read_once()
            for _ in range(LARGE_RECORDS):
                await fake_store.put_raw(STATUS_TOPIC, 'c', LARGE_VALUE)
            await feed.read_once()
            await feed.read_once()
            fake_store.stop()
            whole, truncated, rest = updates
            return (
                truncated.confirmed_s - whole.confirmed_s,
                rest.confirmed_s - whole.confirmed_s,
            )

        truncated_s, rest_s = asyncio.run(scenario())
        assert truncated_s == 0
        assert rest_s > 0


class TestAppends:
    """Conditional appends and lost responses."""

    def test_records_are_appended_together(self) -> None:
        async def scenario() -> list[str]:
            fake_store, store = await start_store()
            records = (NewRecord('c', b'3'), NewRecord('d', b'4'))
            await store.append(Topic.STATUS, records, Position(2))
            batch = await store.read(Topic.STATUS, 2, 0)
            fake_store.stop()
            return [record.key for record in batch.records]

        assert asyncio.run(scenario()) == ['c', 'd']

    def test_append_requires_the_expected_end(self) -> None:
        async def scenario() -> int:
            fake_store, store = await start_store()
            await store.append(
                Topic.STATUS, (NewRecord('c', b'3'),), Position(2)
            )
            with pytest.raises(ConditionFailedError):
                await store.append(
                    Topic.STATUS, (NewRecord('d', b'4'),), Position(2)
                )
            fake_store.stop()
            return fake_store.topic_by_name[STATUS_TOPIC].end_offset

        assert asyncio.run(scenario()) == 3

    def test_lost_response_leaves_the_outcome_unknown(self) -> None:
        async def scenario() -> int:
            fake_store, store = await start_store()
            fake_store.fault = StoreFault.LOST
            with pytest.raises(StoreUnavailableError):
                await store.append(
                    Topic.STATUS, (NewRecord('c', b'3'),), Position(2)
                )
            fake_store.stop()
            return fake_store.topic_by_name[STATUS_TOPIC].end_offset

        assert asyncio.run(scenario()) == 3


class TestOutages:
    """A store that fails or does not respond."""

    @pytest.mark.parametrize(
        'fault', (StoreFault.BUSY, StoreFault.RESET, StoreFault.SILENT)
    )
    def test_client_recovers_after_an_outage(self, fault: StoreFault) -> None:
        async def scenario() -> Batch:
            fake_store, store = await start_store()
            fake_store.fault = fault
            with pytest.raises(StoreUnavailableError):
                await store.newest(Topic.STATUS)
            fake_store.fault = StoreFault.NONE
            batch = await store.newest(Topic.STATUS)
            fake_store.stop()
            return batch

        assert asyncio.run(scenario()).end == 2


class TestEras:
    """A store that was restored from an older copy."""

    def test_batches_carry_the_era(self) -> None:
        async def scenario() -> tuple[Batch, Batch]:
            fake_store, store = await start_store()
            fake_store.era = 4
            whole = await store.newest(Topic.STATUS)
            tail = await store.read(Topic.STATUS, 1, 0)
            fake_store.stop()
            return whole, tail

        whole, tail = asyncio.run(scenario())
        assert (whole.era, tail.era) == (4, 4)

    def test_offset_beyond_the_end(self) -> None:
        async def scenario() -> None:
            fake_store, store = await start_store()
            copy = fake_store.take_copy()
            await fake_store.put_raw(STATUS_TOPIC, 'c', b'3')
            fake_store.restore(copy)
            try:
                await store.read(Topic.STATUS, 3, 0)
            finally:
                fake_store.stop()

        with pytest.raises(HistoryLostError):
            asyncio.run(scenario())

    def test_append_is_not_sent_with_an_end_of_an_earlier_era(self) -> None:
        async def scenario() -> int:
            fake_store, store = await start_store()
            fake_store.era = 4
            await store.newest(Topic.STATUS)
            with pytest.raises(ConditionFailedError):
                await store.append(
                    Topic.STATUS, (NewRecord('c', b'3'),), Position(2, 3)
                )
            fake_store.stop()
            return fake_store.topic_by_name[STATUS_TOPIC].end_offset

        assert asyncio.run(scenario()) == 2

    def test_append_that_is_answered_in_a_new_era_is_not_confirmed(
        self,
    ) -> None:
        async def scenario() -> None:
            fake_store, store = await start_store()
            fake_store.era = 3
            whole = await store.newest(Topic.STATUS)
            fake_store.restore(fake_store.take_copy())
            # Let the client notice that its connection was aborted.
            await asyncio.sleep(0.05)
            end = Position(whole.end, whole.era)
            with pytest.raises(StoreUnavailableError):
                await store.append(Topic.STATUS, (NewRecord('c', b'3'),), end)
            with pytest.raises(ConditionFailedError):
                await store.append(Topic.STATUS, (NewRecord('c', b'3'),), end)
            fake_store.stop()

        asyncio.run(scenario())

    def test_era_that_is_not_a_number(self) -> None:
        async def scenario() -> None:
            fake_store, store = await start_store()
            fake_store.era_text = 'four'
            try:
                await store.newest(Topic.STATUS)
            finally:
                fake_store.stop()

        with pytest.raises(StoreUnavailableError, match="'four'"):
            asyncio.run(scenario())
