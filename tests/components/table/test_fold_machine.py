"""The table at daemons that read, relay, restore and are replaced."""

from typing import Any

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from marigoldhoist.components.platform_log.const import TABLE_STREAM
from marigoldhoist.components.platform_log.follower import Follower
from marigoldhoist.components.platform_log.models import LogEntry, new_record
from marigoldhoist.components.snapshots.chunks import split_dump
from marigoldhoist.components.snapshots.recovery import StreamRecovery
from marigoldhoist.components.table.const import CHANGE_KIND
from marigoldhoist.components.table.fold import TableFold
from marigoldhoist.components.table.models import RowEdit, TableChange
from tests.fakes import READ_BATCH_RECORDS, AppendFault, FakeClock, FakeLog
from tests.machines import state_machine_settings
from tools.model_check.properties import Property
from tools.standins.log import LogStore

MODEL = 'pult-model'
VERSIONS = ('a', 'b')
DAEMONS = 2
ROUNDS = 3
ROW_BY_CHANGE: dict[str, Any] = {
    'live': {'state': 'live'},
    'held': {'state': 'held'},
    'withdrawn': {'state': 'withdrawn'},
    'to b': {'state': 'withdrawn', 'successor': 'b'},
    'deleted': None,
}

daemon_numbers = st.integers(0, DAEMONS - 1)


class Daemon:
    """The table of one daemon."""

    def __init__(self, store: LogStore) -> None:
        self.log = FakeLog(store)
        self.feed = self.log.feeds_by_stream[TABLE_STREAM]
        self.fold = TableFold()
        self.feed.add_fold(self.fold.apply)
        self.feed.add_part('table', self.fold.dump, self.fold.restore)
        self.follower = Follower(self.log, self.feed)
        self.follower.recovery = StreamRecovery(self.feed, self.log)
        self.furthest = 0


class TableMachine(RuleBasedStateMachine):
    """Daemons, and one reader of everything to compare them with."""

    def __init__(self) -> None:
        super().__init__()
        self.store = LogStore(clock=FakeClock())
        self.daemons = [Daemon(self.store) for _ in range(DAEMONS)]
        self.witness = Daemon(self.store)
        self.truth_by_position: dict[int, Any] = {}
        self.newest_base = 0
        self.withdrawn_at: dict[str, int] = {}

    @initialize()
    def fill(self) -> None:
        """Write a table."""
        rows: dict[str, Any] = {
            f'version/{MODEL}/{name}': {} for name in VERSIONS
        }
        rows['workspace/bench'] = {
            'key_digests': [],
            'versions_by_model': {MODEL: ['*']},
        }
        rows[f'model/{MODEL}'] = {'weights_by_version': {'a': 5, 'b': 3}}
        self._append(rows, AppendFault.NONE)

    @rule(
        daemon=daemon_numbers,
        version=st.sampled_from(VERSIONS),
        change=st.sampled_from(sorted(ROW_BY_CHANGE)),
        fault=st.sampled_from(AppendFault),
        is_stale=st.booleans(),
    )
    def change_version(
        self,
        daemon: int,
        version: str,
        change: str,
        fault: AppendFault,
        is_stale: bool,
    ) -> None:
        """Change a row as one daemon knows it, which may be stale."""
        if not is_stale:
            self.read_all(daemon)
        key = f'version/{MODEL}/{version}'
        self._append({key: ROW_BY_CHANGE[change]}, fault, daemon)

    @rule(
        daemon=daemon_numbers,
        weights=st.fixed_dictionaries(
            {name: st.integers(0, 9) for name in VERSIONS}
        ),
    )
    def change_weights(self, daemon: int, weights: dict[str, int]) -> None:
        """Change the weights; an illegal table is on the log as well."""
        self.read_all(daemon)
        row = {'weights_by_version': weights}
        self._append({f'model/{MODEL}': row}, AppendFault.NONE, daemon)

    @rule(daemon=daemon_numbers, limit=st.integers(1, 3))
    def read(self, daemon: int, limit: int) -> None:
        """Read a little from the log, if it has what is wanted."""
        log = self.daemons[daemon].log
        log.read_batch_records = limit
        self.daemons[daemon].follower.read_once(0)

    @rule(daemon=daemon_numbers)
    def read_all(self, daemon: int) -> None:
        """Read as far as the log goes."""
        self.daemons[daemon].log.read_batch_records = READ_BATCH_RECORDS
        for _ in range(ROUNDS):
            self.daemons[daemon].follower.read_once(0)

    @rule(to=daemon_numbers, sender=daemon_numbers, offset=st.integers(0, 9))
    def relay(self, to: int, sender: int, offset: int) -> None:
        """Offer entries that a peer has, old and out of step ones too."""
        entries = self.daemons[sender].feed.entries_from(offset, 3)
        self.daemons[to].feed.offer(entries)

    @rule(daemon=daemon_numbers, chunk_bytes=st.sampled_from((150, 100_000)))
    def write_snapshot(self, daemon: int, chunk_bytes: int) -> None:
        """Write a snapshot; every daemon may, and more than one at once."""
        dump = self.daemons[daemon].feed.dump()
        records = split_dump(dump, chunk_bytes=chunk_bytes)
        self.newest_base = max(self.newest_base, dump.offset)
        self.store.append(TABLE_STREAM, records)
        self._witness()

    @rule()
    def expire(self) -> None:
        """Let the records expire that are older than a snapshot's base."""
        self.store.expire_before(TABLE_STREAM, self.newest_base)

    @rule(to=daemon_numbers, sender=daemon_numbers)
    def take_state_of_peer(self, to: int, sender: int) -> None:
        """Take the snapshot of a peer, which may be behind."""
        self.daemons[to].feed.restore(self.daemons[sender].feed.dump())

    @rule(daemon=daemon_numbers)
    def replace(self, daemon: int) -> None:
        """Replace a host."""
        self.daemons[daemon] = Daemon(self.store)

    @invariant()
    def holds_what_was_withdrawn(self) -> None:
        """Give no work to a version behind its withdrawal."""
        for daemon in self.daemons:
            for version, offset in self.withdrawn_at.items():
                if daemon.feed.next_offset > offset:
                    takes_work = daemon.fold.state.takes_work(MODEL, version)
                    assert not takes_work, Property.WITHDRAWN_STAYS_WITHDRAWN

    @invariant()
    def holds_one_state_for_a_position(self) -> None:
        """Be where the reader of everything was at that position."""
        for daemon in self.daemons:
            if daemon.feed.next_offset:
                truth = self.truth_by_position[daemon.feed.next_offset]
                assert daemon.feed.dump() == truth, (
                    Property.SAME_POSITION_SAME_STATE
                )

    @invariant()
    def steps_only_ahead(self) -> None:
        """Never be behind an earlier position."""
        for daemon in self.daemons:
            position = daemon.feed.next_offset
            assert position >= daemon.furthest, Property.NEVER_STEPS_BACK
            daemon.furthest = position

    def _append(
        self, rows: dict[str, Any], fault: AppendFault, daemon: int = 0
    ) -> None:
        author = self.daemons[daemon]
        state = author.fold.state
        edits = []
        for key, row in rows.items():
            stored = state.rows_by_key.get(key)
            edits.append(
                RowEdit(
                    key,
                    msgspec.Raw(msgspec.json.encode(row)),
                    stored.revision if stored else -1,
                )
            )
        record = new_record(CHANGE_KIND, TableChange('ana', tuple(edits)))
        author.log.fault = fault
        author.log.reads_after_append = False
        appended = author.log.append(TABLE_STREAM, (record,), 0)
        author.log.fault = AppendFault.NONE
        if appended.is_err():
            author.log.append(TABLE_STREAM, (record,), 0)
        self._witness()

    def _witness(self) -> None:
        """Let the reader of everything read each entry as it comes."""
        feed = self.witness.feed
        for entry in self.store.entries(TABLE_STREAM):
            if entry.offset == feed.next_offset:
                feed.offer((entry,))
                self._note(entry)

    def _note(self, entry: LogEntry) -> None:
        self.truth_by_position[entry.offset + 1] = self.witness.feed.dump()
        for version in VERSIONS:
            if self.witness.fold.state.is_withdrawn(MODEL, version):
                self.withdrawn_at.setdefault(version, entry.offset)


TestTableMachine = TableMachine.TestCase
TestTableMachine.settings = state_machine_settings(150, 30)
