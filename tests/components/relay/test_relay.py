"""State that passes between peers while the log is out of reach."""

from collections.abc import Iterator

import pytest

from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.platform_log.const import (
    RING_RECORDS,
    TABLE_STREAM,
)
from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.components.platform_log.models import (
    LogEntry,
    Record,
    new_record,
)
from marigoldhoist.components.platform_log.service import LogService
from tools.standins.log import LogFaults
from tools.world.world import World, wait_until


def feed_of(world: World, host: str) -> Feed:
    """Return a daemon's feed of the table."""
    log = world.kernels_by_host[host].find(LOG, LogService)
    return log.feeds_by_stream[TABLE_STREAM]


def fillers(count: int) -> tuple[Record, ...]:
    """Return records that no fold knows."""
    return tuple(new_record('other', None) for _ in range(count))


@pytest.fixture
def world() -> Iterator[World]:
    """Start a daemon whose first entries are no longer kept."""
    with World() as started:
        started.log.store.append(TABLE_STREAM, fillers(RING_RECORDS))
        started.add_daemon('entry-1', 'zg-trnje')
        wait_until(
            lambda: feed_of(started, 'entry-1').next_offset > RING_RECORDS,
            'the table at the first daemon',
        )
        yield started


class TestRelay:
    """A daemon without the log follows its peers."""

    def test_new_daemon_without_log_gets_state_of_a_peer(
        self, world: World
    ) -> None:
        world.add_daemon('entry-2', 'zg-trnje', LogFaults(is_down=True))
        wait_until(
            lambda: feed_of(world, 'entry-2').next_offset > RING_RECORDS,
            'the table at the second daemon',
        )
        ours = feed_of(world, 'entry-2').dump()
        assert ours.dumped_by_part == (
            feed_of(world, 'entry-1').dump().dumped_by_part
        )


class TestRing:
    """Recent entries are handed only to daemons of the same history."""

    def test_entries(self) -> None:
        feed = Feed(TABLE_STREAM)
        records = fillers(4)
        entries = [
            LogEntry(offset, 1, record) for offset, record in enumerate(records)
        ]
        feed.offer(entries)
        assert feed.entries_from(2, 9, records[1].id) == tuple(entries[2:])
        assert feed.entries_from(2, 9, 'another') == ()
        assert feed.entries_from(0, 2) == tuple(entries[:2])
        assert feed.entries_from(4, 2, records[3].id) == ()
