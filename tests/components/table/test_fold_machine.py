"""Replication of the table under duplicates, gossip, restores and restarts.

Guards against daemons whose tables differ at the same log offset, that move
back to an earlier offset, or that give requests to a withdrawn version.
"""

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
READS_TO_END = 3
ROW_BY_CHANGE: dict[str, Any] = {
    'live': {'state': 'live'},
    'held': {'state': 'held'},
    'withdrawn': {'state': 'withdrawn'},
    'to b': {'state': 'withdrawn', 'successor': 'b'},
    'deleted': None,
}

daemon_numbers = st.integers(0, DAEMONS - 1)


class Daemon:
    """One daemon's feed, fold and recovery of the table stream."""

    def __init__(self, store: LogStore) -> None:
        self.log = FakeLog(store)
        self.feed = self.log.feeds_by_stream[TABLE_STREAM]
        self.fold = TableFold()
        self.feed.add_fold(self.fold.apply)
        self.feed.add_part('table', self.fold.dump, self.fold.restore)
        self.follower = Follower(self.log, self.feed)
        self.follower.recovery = StreamRecovery(self.feed, self.log)
        self.highest_offset = 0


class TableMachine(RuleBasedStateMachine):
    """Daemons, compared with a reference that folds every log entry."""

    def __init__(self) -> None:
        super().__init__()
        self.store = LogStore(clock=FakeClock())
        self.daemons = [Daemon(self.store) for _ in range(DAEMONS)]
        self.reference = Daemon(self.store)
        self.dump_by_offset: dict[int, Any] = {}
        self.newest_base = 0
        self.withdrawal_offset_by_version: dict[str, int] = {}

    @initialize()
    def write_initial_table(self) -> None:
        """Write the initial rows."""
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
        """Change a version based on one daemon's, possibly stale, row."""
        if not is_stale:
            self.read_to_end(daemon)
        key = f'version/{MODEL}/{version}'
        self._append({key: ROW_BY_CHANGE[change]}, fault, daemon)

    @rule(
        daemon=daemon_numbers,
        weights=st.fixed_dictionaries(
            {name: st.integers(0, 9) for name in VERSIONS}
        ),
    )
    def change_weights(self, daemon: int, weights: dict[str, int]) -> None:
        """Change the weights; all-zero weights must be rejected on folding."""
        self.read_to_end(daemon)
        row = {'weights_by_version': weights}
        self._append({f'model/{MODEL}': row}, AppendFault.NONE, daemon)

    @rule(daemon=daemon_numbers, limit=st.integers(1, 3))
    def read(self, daemon: int, limit: int) -> None:
        """Read a small batch from the log."""
        log = self.daemons[daemon].log
        log.read_batch_records = limit
        self.daemons[daemon].follower.read_once(0)

    @rule(daemon=daemon_numbers)
    def read_to_end(self, daemon: int) -> None:
        """Read up to the end of the log."""
        self.daemons[daemon].log.read_batch_records = READ_BATCH_RECORDS
        for _ in range(READS_TO_END):
            self.daemons[daemon].follower.read_once(0)

    @rule(to=daemon_numbers, sender=daemon_numbers, offset=st.integers(0, 9))
    def relay(self, to: int, sender: int, offset: int) -> None:
        """Offer a peer's entries, also old ones and ones after a gap."""
        entries = self.daemons[sender].feed.entries_from(offset, 3)
        self.daemons[to].feed.offer(entries)

    @rule(daemon=daemon_numbers, chunk_bytes=st.sampled_from((150, 100_000)))
    def write_snapshot(self, daemon: int, chunk_bytes: int) -> None:
        """Write a snapshot; several daemons may write one concurrently."""
        dump = self.daemons[daemon].feed.dump()
        records = split_dump(dump, chunk_bytes=chunk_bytes)
        self.newest_base = max(self.newest_base, dump.offset)
        self.store.append(TABLE_STREAM, records)
        self._update_reference()

    @rule()
    def expire(self) -> None:
        """Expire the records before the base of the newest snapshot."""
        self.store.expire_before(TABLE_STREAM, self.newest_base)

    @rule(to=daemon_numbers, sender=daemon_numbers)
    def restore_from_peer(self, to: int, sender: int) -> None:
        """Restore the state of a peer, which may be behind."""
        self.daemons[to].feed.restore(self.daemons[sender].feed.dump())

    @rule(daemon=daemon_numbers)
    def replace_daemon(self, daemon: int) -> None:
        """Replace a daemon by one without any state."""
        self.daemons[daemon] = Daemon(self.store)

    @invariant()
    def withdrawn_versions_get_no_requests(self) -> None:
        """Check that no daemon past a withdrawal accepts the version."""
        for daemon in self.daemons:
            for version, offset in self.withdrawal_offset_by_version.items():
                if daemon.feed.next_offset > offset:
                    takes_work = daemon.fold.state.takes_work(MODEL, version)
                    assert not takes_work, Property.WITHDRAWN_STAYS_WITHDRAWN

    @invariant()
    def state_equals_reference(self) -> None:
        """Check that a state equals the reference at the same offset."""
        for daemon in self.daemons:
            if daemon.feed.next_offset:
                expected = self.dump_by_offset[daemon.feed.next_offset]
                assert daemon.feed.dump() == expected, (
                    Property.SAME_POSITION_SAME_STATE
                )

    @invariant()
    def offsets_never_decrease(self) -> None:
        """Check that no daemon moves back to an earlier offset."""
        for daemon in self.daemons:
            offset = daemon.feed.next_offset
            assert offset >= daemon.highest_offset, Property.NEVER_STEPS_BACK
            daemon.highest_offset = offset

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
        self._update_reference()

    def _update_reference(self) -> None:
        """Fold new entries into the reference before any can expire."""
        feed = self.reference.feed
        for entry in self.store.entries(TABLE_STREAM):
            if entry.offset == feed.next_offset:
                feed.offer((entry,))
                self._record_expected_state(entry)

    def _record_expected_state(self, entry: LogEntry) -> None:
        self.dump_by_offset[entry.offset + 1] = self.reference.feed.dump()
        for version in VERSIONS:
            if self.reference.fold.state.is_withdrawn(MODEL, version):
                self.withdrawal_offset_by_version.setdefault(
                    version, entry.offset
                )


TestTableMachine = TableMachine.TestCase
TestTableMachine.settings = state_machine_settings(150, 30)
