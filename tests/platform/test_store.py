"""The client of the store, against a stand-in on loopback."""

import asyncio

import pytest

from marigoldhoist.components.feeds.errors import (
    ConditionFailedError,
    HistoryLostError,
    StoreUnavailableError,
)
from marigoldhoist.components.feeds.models import Batch, Topic
from marigoldhoist.platform.store import PlatformStore
from tests.platform.world import HOST
from tools.platform_standins.store import STATUS, StandInStore, StoreFault


async def opened() -> tuple[StandInStore, PlatformStore]:
    """Return a stand-in with two records, and a client of it."""
    stand_in = StandInStore()
    await stand_in.start(HOST)
    await stand_in.put_raw(STATUS, 'a', b'1')
    await stand_in.put_raw(STATUS, 'b', b'2')
    return stand_in, PlatformStore(stand_in.address)


class TestReads:
    """Records and offsets."""

    def test_newest_then_tail(self) -> None:
        async def scenario() -> tuple[Batch, Batch]:
            stand_in, store = await opened()
            whole = await store.newest(Topic.STATUS)
            await stand_in.put_raw(STATUS, 'a', b'')
            tail = await store.read(Topic.STATUS, whole.end, 1)
            stand_in.stop()
            return whole, tail

        whole, tail = asyncio.run(scenario())
        assert {one.key: one.value for one in whole.records} == {
            'a': b'1',
            'b': b'2',
        }
        assert (whole.end, tail.end) == (2, 3)
        assert [(one.key, one.value) for one in tail.records] == [('a', None)]

    def test_read_waits_for_a_record(self) -> None:
        async def scenario() -> Batch:
            stand_in, store = await opened()
            reading = asyncio.create_task(store.read(Topic.STATUS, 2, 2))
            await asyncio.sleep(0.05)
            await stand_in.put_raw(STATUS, 'c', b'3')
            found = await reading
            stand_in.stop()
            return found

        assert [one.key for one in asyncio.run(scenario()).records] == ['c']

    def test_lost_history(self) -> None:
        async def scenario() -> None:
            stand_in, store = await opened()
            stand_in.topic_by_name[STATUS].forget_history()
            try:
                await store.read(Topic.STATUS, 0, 0)
            finally:
                stand_in.stop()

        with pytest.raises(HistoryLostError):
            asyncio.run(scenario())


class TestAppends:
    """Conditions, and answers that are lost."""

    def test_only_at_the_expected_end(self) -> None:
        async def scenario() -> int:
            stand_in, store = await opened()
            await store.append(Topic.STATUS, 'c', b'3', 2)
            with pytest.raises(ConditionFailedError):
                await store.append(Topic.STATUS, 'd', b'4', 2)
            stand_in.stop()
            return stand_in.topic_by_name[STATUS].end

        assert asyncio.run(scenario()) == 3

    def test_lost_answer_is_an_unknown_outcome(self) -> None:
        async def scenario() -> int:
            stand_in, store = await opened()
            stand_in.fault = StoreFault.LOST
            with pytest.raises(StoreUnavailableError):
                await store.append(Topic.STATUS, 'c', b'3', 2)
            stand_in.stop()
            return stand_in.topic_by_name[STATUS].end

        assert asyncio.run(scenario()) == 3


class TestOutages:
    """A store that does not answer as it should."""

    @pytest.mark.parametrize(
        'fault', (StoreFault.BUSY, StoreFault.RESET, StoreFault.SILENT)
    )
    def test_is_unavailable_and_found_again(self, fault: StoreFault) -> None:
        async def scenario() -> Batch:
            stand_in, store = await opened()
            stand_in.fault = fault
            with pytest.raises(StoreUnavailableError):
                await store.newest(Topic.STATUS)
            stand_in.fault = StoreFault.NONE
            found = await store.newest(Topic.STATUS)
            stand_in.stop()
            return found

        assert asyncio.run(scenario()).end == 2
