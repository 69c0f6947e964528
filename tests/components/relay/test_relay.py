"""Relaying state between peers while the log is unreachable."""

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
    """Return a daemon's feed of the table stream."""
    log = world.kernels_by_host[host].find(LOG, LogService)
    return log.feeds_by_stream[TABLE_STREAM]


def fillers(count: int) -> tuple[Record, ...]:
    """Return records of a kind that every fold ignores."""
    return tuple(new_record('other', None) for _ in range(count))


@pytest.fixture
def world() -> Iterator[World]:
    """Start a daemon that no longer retains its first entries."""
    with World() as started:
        started.log.store.append(TABLE_STREAM, fillers(RING_RECORDS))
        started.add_daemon('entry-1', 'zg-trnje')
        wait_until(
            lambda: feed_of(started, 'entry-1').next_offset > RING_RECORDS,
            'the table at the first daemon',
        )
        yield started


class TestRelay:
    """A daemon that cannot reach the log follows its peers."""

    def test_new_daemon_without_log_restores_from_peer(
        self, world: World
    ) -> None:
        world.add_daemon('entry-2', 'zg-trnje', LogFaults(is_down=True))
        wait_until(
            lambda: feed_of(world, 'entry-2').next_offset > RING_RECORDS,
            'the table at the second daemon',
        )
        restored = feed_of(world, 'entry-2').dump()
        assert restored.dumped_by_part == (
            feed_of(world, 'entry-1').dump().dumped_by_part
        )


class TestRing:
    """Retained entries are returned only for a matching history."""

    def test_entries_from(self) -> None:
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
