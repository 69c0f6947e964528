"""Recovery of folded state after records expired or the log lost its tail."""

import msgspec
import pytest

from marigoldhoist.components.platform_log.const import (
    READ_LIMIT_RECORDS,
    TABLE_STREAM,
    VERIFY_INTERVAL_S,
)
from marigoldhoist.components.platform_log.follower import Follower
from marigoldhoist.components.platform_log.models import (
    LogEntry,
    Record,
    new_record,
)
from marigoldhoist.components.snapshots.chunks import split_dump
from marigoldhoist.components.snapshots.recovery import StreamRecovery
from marigoldhoist.components.snapshots.settings import SnapshotSettings
from marigoldhoist.components.snapshots.writer import SnapshotWriter
from tests.fakes import FakeClock, FakeLog
from tools.standins.log import LogStore

WORD_KIND = 'word'
INTERVAL_S = 60
READS_TO_END = 12


class Words:
    """A fold that collects each distinct word with its first offset."""

    def __init__(self) -> None:
        self.entries: list[tuple[int, str]] = []

    def apply(self, entry: LogEntry) -> None:
        """Fold one entry."""
        if entry.record.kind == WORD_KIND:
            word = msgspec.json.decode(entry.record.body, type=str)
            if word not in {known for _, known in self.entries}:
                self.entries.append((entry.offset, word))

    def dump(self) -> msgspec.Raw:
        """Serialize the words."""
        return msgspec.Raw(msgspec.json.encode(self.entries))

    def restore(self, dumped: msgspec.Raw) -> None:
        """Replace the words."""
        self.entries = msgspec.json.decode(dumped, type=list[tuple[int, str]])


class Node:
    """One daemon's feed, recovery and snapshot writer of the table stream."""

    def __init__(self, store: LogStore, clock: FakeClock) -> None:
        self.log = FakeLog(store)
        # Only the follower may read, because it checks for divergence.
        self.log.reads_after_append = False
        self.feed = self.log.feeds_by_stream[TABLE_STREAM]
        self.words = Words()
        self.feed.add_fold(self.words.apply)
        self.feed.add_part('words', self.words.dump, self.words.restore)
        self.recovery = StreamRecovery(self.feed, self.log)
        self.follower = Follower(self.log, self.feed, clock)
        self.follower.recovery = self.recovery
        settings = SnapshotSettings(interval_s=INTERVAL_S, rejoin_delay_s=1)
        self.writer = SnapshotWriter(
            self.feed, self.recovery, self.log, settings, clock
        )

    def follow(self) -> None:
        """Read up to the end of the log."""
        for _ in range(READS_TO_END):
            self.follower.read_once(0)


class Fleet:
    """Nodes that share a log."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.store = LogStore(clock=self.clock)

    def node(self) -> Node:
        """Return a new node that has read the log."""
        created = Node(self.store, self.clock)
        created.follow()
        return created

    def append_words(self, *words: str) -> list[Record]:
        """Append one record for each word."""
        records = [new_record(WORD_KIND, word) for word in words]
        self.store.append(TABLE_STREAM, tuple(records))
        return records

    def expire_all_but(self, kept: int) -> None:
        """Append a record and expire all but the newest `kept` ones."""
        self.store.retention_records = kept
        self.store.append(TABLE_STREAM, (new_record('other', None),))
        self.store.retention_records = 0

    def rejoin(self, *nodes: Node) -> None:
        """Advance time until the nodes have appended their state."""
        for _ in range(4):
            self.clock.time_s += VERIFY_INTERVAL_S
            for node in nodes:
                node.follow()
                node.writer.rejoin()
        for reader in nodes:
            reader.follow()


@pytest.fixture
def fleet() -> Fleet:
    """Return a fleet whose log has two words."""
    started = Fleet()
    started.append_words('one', 'two')
    return started


class TestStart:
    """A new daemon reaches the state of one that folded every entry."""

    def test_snapshot_and_tail(self, fleet: Fleet) -> None:
        old = fleet.node()
        assert old.writer.write()
        fleet.append_words('three')
        fleet.expire_all_but(3)
        old.follow()
        new = fleet.node()
        assert new.words.entries == old.words.entries
        assert [word for _, word in new.words.entries] == [
            'one',
            'two',
            'three',
        ]
        assert new.feed.dump() == old.feed.dump()

    def test_without_snapshot_it_has_no_state(self, fleet: Fleet) -> None:
        fleet.expire_all_but(1)
        new = fleet.node()
        assert (new.feed.next_offset, new.words.entries) == (0, [])

    def test_snapshot_written_later_is_restored(self, fleet: Fleet) -> None:
        old = fleet.node()
        fleet.expire_all_but(1)
        new = fleet.node()
        old.follow()
        old.writer.write()
        new.follow()
        assert new.words.entries == old.words.entries

    def test_snapshot_before_expired_entries_is_skipped(
        self, fleet: Fleet
    ) -> None:
        old = fleet.node()
        records = split_dump(old.feed.dump())
        fleet.append_words('three')
        fleet.store.append(TABLE_STREAM, records)
        fleet.expire_all_but(2)
        new = fleet.node()
        assert new.feed.next_offset == 0

    def test_lagging_daemon_catches_up(self, fleet: Fleet) -> None:
        lagging = fleet.node()
        old = fleet.node()
        fleet.append_words('three')
        old.follow()
        old.writer.write()
        fleet.expire_all_but(2)
        lagging.follow()
        old.follow()
        assert lagging.words.entries == old.words.entries

    def test_interleaved_chunks_of_two_writers(self, fleet: Fleet) -> None:
        first, second = fleet.node(), fleet.node()
        own = split_dump(first.feed.dump(), chunk_bytes=20)
        others = split_dump(second.feed.dump(), chunk_bytes=20)
        assert len(own) > 2
        mixed = [*own[:2], *others, *own[2:]]
        fleet.store.append(TABLE_STREAM, tuple(mixed))
        fleet.expire_all_but(len(mixed) + 1)
        first.follow()
        assert fleet.node().feed.dump() == first.feed.dump()

    def test_long_log_is_read_from_its_end(self, fleet: Fleet) -> None:
        old = fleet.node()
        fleet.append_words(*('filler' for _ in range(3 * READ_LIMIT_RECORDS)))
        old.follow()
        old.writer.write()
        new = Node(fleet.store, fleet.clock)
        new.follower.read_once(0)
        assert new.feed.next_offset > 3 * READ_LIMIT_RECORDS
        new.follow()
        old.follow()
        assert new.feed.dump() == old.feed.dump()

    @pytest.mark.parametrize('fault', ['missing chunk', 'garbled', 'no part'])
    def test_corrupt_snapshot_is_skipped(
        self, fleet: Fleet, fault: str
    ) -> None:
        old = fleet.node()
        good = split_dump(old.feed.dump())
        fleet.store.append(TABLE_STREAM, good)
        broken = list(split_dump(old.feed.dump(), chunk_bytes=20))
        if fault == 'missing chunk':
            broken.pop()
        elif fault == 'garbled':
            broken[0] = broken[1]
        else:
            dump = msgspec.structs.replace(old.feed.dump(), dumped_by_part={})
            broken = list(split_dump(dump))
        fleet.store.append(TABLE_STREAM, tuple(broken))
        fleet.expire_all_but(len(broken) + 2)
        new = fleet.node()
        if fault == 'no part':
            assert new.feed.next_offset == 0
        else:
            assert new.words.entries == old.words.entries


class TestWriter:
    """A snapshot is due if there is none or the newest one is too old."""

    def test_due(self, fleet: Fleet) -> None:
        node = fleet.node()
        assert node.writer.is_due
        node.writer.write()
        node.follow()
        assert not node.writer.is_due
        fleet.clock.time_s += INTERVAL_S
        assert node.writer.is_due

    def test_empty_stream_needs_none(self) -> None:
        assert not Fleet().node().writer.is_due


class TestShortenedLog:
    """Folded state survives a log that lost its tail."""

    def test_state_is_kept_and_appended_again(self, fleet: Fleet) -> None:
        nodes = [fleet.node(), fleet.node()]
        fleet.store.truncate(TABLE_STREAM, 1)
        fleet.rejoin(*nodes)
        late = fleet.node()
        fleet.append_words('three')
        for node in (*nodes, late):
            node.follow()
            assert not node.feed.is_diverged
            words = [word for _, word in node.words.entries]
            assert words == ['one', 'two', 'three']
        assert late.feed.dump() == nodes[0].feed.dump()

    def test_offsets_are_not_issued_twice(self, fleet: Fleet) -> None:
        node = fleet.node()
        first_unused = node.feed.next_offset
        fleet.store.truncate(TABLE_STREAM, 1)
        fleet.rejoin(node)
        fleet.append_words('three')
        node.follow()
        assert node.words.entries[-1][0] >= first_unused

    def test_reissued_offsets_are_not_folded(self, fleet: Fleet) -> None:
        node = fleet.node()
        fleet.store.truncate(TABLE_STREAM, 1)
        fleet.append_words('other two', 'other three')
        node.follower.read_once(0)
        assert node.feed.is_diverged
        assert [word for _, word in node.words.entries] == ['one', 'two']

    def test_state_with_higher_offset_wins(self, fleet: Fleet) -> None:
        behind = fleet.node()
        fleet.append_words('three')
        ahead = fleet.node()
        fleet.store.truncate(TABLE_STREAM, 1)
        fleet.rejoin(behind)
        fleet.rejoin(behind, ahead)
        fleet.rejoin(behind, ahead)
        for node in (behind, ahead, fleet.node()):
            words = [word for _, word in node.words.entries]
            assert words == ['one', 'two', 'three']

    def test_words_of_both_histories_are_kept(self, fleet: Fleet) -> None:
        lagging = fleet.node()
        fleet.append_words('three')
        ahead = fleet.node()
        fleet.store.truncate(TABLE_STREAM, 2)
        fleet.append_words('another three')
        lagging.follow()
        fleet.rejoin(lagging, ahead)
        for node in (lagging, ahead):
            words = {word for _, word in node.words.entries}
            assert words == {'one', 'two', 'three', 'another three'}

    def test_unreachable_log_has_not_diverged(self, fleet: Fleet) -> None:
        node = fleet.node()
        node.log.is_down = True
        node.follow()
        assert not node.feed.is_diverged
