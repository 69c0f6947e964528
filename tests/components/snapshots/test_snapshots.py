"""State that outlives the records it came from."""

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
READS = 12


class Words:
    """A part that gathers the body of each word record, with its offset."""

    def __init__(self) -> None:
        self.found: list[tuple[int, str]] = []

    def apply(self, entry: LogEntry) -> None:
        """Fold one entry."""
        if entry.record.kind == WORD_KIND:
            word = msgspec.json.decode(entry.record.body, type=str)
            if word not in {known for _, known in self.found}:
                self.found.append((entry.offset, word))

    def dump(self) -> msgspec.Raw:
        """Dump the words."""
        return msgspec.Raw(msgspec.json.encode(self.found))

    def restore(self, dumped: msgspec.Raw) -> None:
        """Load the words."""
        self.found = msgspec.json.decode(dumped, type=list[tuple[int, str]])


class Node:
    """One daemon's state of the table stream."""

    def __init__(self, store: LogStore, clock: FakeClock) -> None:
        self.log = FakeLog(store)
        # The follower alone reads, because it looks at the history.
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
        """Read until the log has nothing new."""
        for _ in range(READS):
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

    def say(self, *words: str) -> list[Record]:
        """Append words."""
        records = [new_record(WORD_KIND, word) for word in words]
        self.store.append(TABLE_STREAM, tuple(records))
        return records

    def expire_all_but(self, kept: int) -> None:
        """Let old records expire."""
        self.store.retention_records = kept
        self.store.append(TABLE_STREAM, (new_record('other', None),))
        self.store.retention_records = 0

    def rejoin(self, *nodes: Node) -> None:
        """Let time pass until the nodes have put their state back."""
        for _ in range(4):
            self.clock.time_s += VERIFY_INTERVAL_S
            for node in nodes:
                node.follow()
                node.writer.rejoin()
        for reader in nodes:
            reader.follow()


@pytest.fixture
def fleet() -> Fleet:
    """Return a fleet whose log holds two words."""
    started = Fleet()
    started.say('one', 'two')
    return started


class TestStart:
    """A new daemon reaches the state of one that read everything."""

    def test_snapshot_and_tail(self, fleet: Fleet) -> None:
        old = fleet.node()
        assert old.writer.write()
        fleet.say('three')
        fleet.expire_all_but(3)
        old.follow()
        new = fleet.node()
        assert new.words.found == old.words.found
        assert [word for _, word in new.words.found] == ['one', 'two', 'three']
        assert new.feed.dump() == old.feed.dump()

    def test_without_snapshot_it_has_no_state(self, fleet: Fleet) -> None:
        fleet.expire_all_but(1)
        new = fleet.node()
        assert (new.feed.next_offset, new.words.found) == (0, [])

    def test_snapshot_that_comes_later_is_found(self, fleet: Fleet) -> None:
        old = fleet.node()
        fleet.expire_all_but(1)
        new = fleet.node()
        old.follow()
        old.writer.write()
        new.follow()
        assert new.words.found == old.words.found

    def test_snapshot_whose_tail_has_expired_is_passed_over(
        self, fleet: Fleet
    ) -> None:
        old = fleet.node()
        records = split_dump(old.feed.dump())
        fleet.say('three')
        fleet.store.append(TABLE_STREAM, records)
        fleet.expire_all_but(2)
        new = fleet.node()
        assert new.feed.next_offset == 0

    def test_lagging_daemon_steps_ahead(self, fleet: Fleet) -> None:
        lagging = fleet.node()
        old = fleet.node()
        fleet.say('three')
        old.follow()
        old.writer.write()
        fleet.expire_all_but(2)
        lagging.follow()
        old.follow()
        assert lagging.words.found == old.words.found

    def test_two_writers_and_many_chunks(self, fleet: Fleet) -> None:
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
        fleet.say(*('filler' for _ in range(3 * READ_LIMIT_RECORDS)))
        old.follow()
        old.writer.write()
        new = Node(fleet.store, fleet.clock)
        new.follower.read_once(0)
        assert new.feed.next_offset > 3 * READ_LIMIT_RECORDS
        new.follow()
        old.follow()
        assert new.feed.dump() == old.feed.dump()

    @pytest.mark.parametrize('fault', ['missing chunk', 'garbled', 'no part'])
    def test_broken_snapshot_is_passed_over(
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
            assert new.words.found == old.words.found


class TestWriter:
    """A snapshot is written before the last one expires."""

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
    """A log that lost its tail takes nothing back."""

    def test_state_is_kept_and_put_back(self, fleet: Fleet) -> None:
        nodes = [fleet.node(), fleet.node()]
        fleet.store.truncate(TABLE_STREAM, 1)
        fleet.rejoin(*nodes)
        late = fleet.node()
        fleet.say('three')
        for node in (*nodes, late):
            node.follow()
            assert not node.feed.is_diverged
            words = [word for _, word in node.words.found]
            assert words == ['one', 'two', 'three']
        assert late.feed.dump() == nodes[0].feed.dump()

    def test_offsets_are_not_given_twice(self, fleet: Fleet) -> None:
        node = fleet.node()
        used = node.feed.next_offset
        fleet.store.truncate(TABLE_STREAM, 1)
        fleet.rejoin(node)
        fleet.say('three')
        node.follow()
        assert node.words.found[-1][0] >= used

    def test_reissued_offsets_are_not_folded(self, fleet: Fleet) -> None:
        node = fleet.node()
        fleet.store.truncate(TABLE_STREAM, 1)
        fleet.say('other two', 'other three')
        node.follower.read_once(0)
        assert node.feed.is_diverged
        assert [word for _, word in node.words.found] == ['one', 'two']

    def test_daemon_that_is_further_on_wins(self, fleet: Fleet) -> None:
        behind = fleet.node()
        fleet.say('three')
        ahead = fleet.node()
        fleet.store.truncate(TABLE_STREAM, 1)
        fleet.rejoin(behind)
        fleet.rejoin(behind, ahead)
        fleet.rejoin(behind, ahead)
        for node in (behind, ahead, fleet.node()):
            words = [word for _, word in node.words.found]
            assert words == ['one', 'two', 'three']

    def test_daemon_that_lagged_keeps_what_it_read(self, fleet: Fleet) -> None:
        lagging = fleet.node()
        fleet.say('three')
        ahead = fleet.node()
        fleet.store.truncate(TABLE_STREAM, 2)
        fleet.say('another three')
        lagging.follow()
        fleet.rejoin(lagging, ahead)
        for node in (lagging, ahead):
            words = {word for _, word in node.words.found}
            assert words == {'one', 'two', 'three', 'another three'}

    def test_log_that_is_down_is_not_shortened(self, fleet: Fleet) -> None:
        node = fleet.node()
        node.log.is_down = True
        node.follow()
        assert not node.feed.is_diverged
