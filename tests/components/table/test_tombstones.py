"""Withdrawals are final, and the successor of each session is stable."""

from typing import Any

import msgspec
import pytest

from marigoldhoist.components.platform_log.models import LogEntry, new_record
from marigoldhoist.components.table.audit import AuditEntry
from marigoldhoist.components.table.const import CHANGE_KIND
from marigoldhoist.components.table.fold import TableFold
from marigoldhoist.components.table.models import RowEdit, TableChange

MODEL = 'pult-model'
WEIGHTS = {'a': 50, 'b': 30, 'c': 20}
ROWS: dict[str, Any] = {
    'version/pult-model/a': {},
    'version/pult-model/b': {},
    'version/pult-model/c': {},
    'model/pult-model': {'weights_by_version': WEIGHTS},
    'workspace/bench': {
        'key_digests': [],
        'versions_by_model': {MODEL: ['*']},
    },
    'workspace/narrow': {
        'key_digests': [],
        'versions_by_model': {MODEL: ['a', 'c']},
    },
}

ROWS_WITHOUT_A: dict[str, Any] = {
    'model/pult-model': {'weights_by_version': {'b': 1, 'c': 1}},
    'workspace/narrow': {'key_digests': []},
}


class Table:
    """A table fold that receives changes at consecutive offsets."""

    def __init__(self) -> None:
        self.fold = TableFold()
        self.entries: list[LogEntry] = []
        assert self.change(ROWS).outcome == 'accepted'

    def change(self, rows: dict[str, Any]) -> AuditEntry:
        """Fold a change based on the current rows and return its outcome."""
        edits = tuple(
            RowEdit(
                key, msgspec.Raw(msgspec.json.encode(row)), self.revision(key)
            )
            for key, row in rows.items()
        )
        record = new_record(CHANGE_KIND, TableChange('ana', edits, 'why'))
        entry = LogEntry(len(self.entries), 1, record)
        self.entries.append(entry)
        self.fold.apply(entry)
        audit_entry = self.fold.audit_entry_of(record.id)
        assert audit_entry is not None
        return audit_entry

    def revision(self, key: str) -> int:
        """Return the revision of a row, -1 if there is no such row."""
        stored = self.fold.state.rows_by_key.get(key)
        return stored.revision if stored else -1

    def withdraw(self, version: str, **columns: Any) -> AuditEntry:
        """Withdraw a version and set other columns of its row."""
        row = columns | {'state': 'withdrawn'}
        return self.change({f'version/{MODEL}/{version}': row})

    def successors(self, version: str, workspace: str = 'bench') -> list[Any]:
        """Return the current versions of 100 sessions of a version."""
        return [
            self.fold.state.successor_of(workspace, MODEL, version, f's{n}')
            for n in range(100)
        ]


@pytest.fixture
def table() -> Table:
    """Return a table with three live versions and two workspaces."""
    return Table()


class TestWithdrawal:
    """A withdrawn or deleted version cannot become live again."""

    @pytest.mark.parametrize('state', ['live', 'held'])
    def test_state_change_is_rejected(self, table: Table, state: str) -> None:
        table.withdraw('a')
        rejected = table.change({'version/pult-model/a': {'state': state}})
        assert (rejected.outcome, 'final' in rejected.reason) == (
            'rejected',
            True,
        )
        assert not table.fold.state.takes_work(MODEL, 'a')

    def test_name_cannot_be_reused_after_deletion(self, table: Table) -> None:
        table.withdraw('a')
        table.change(ROWS_WITHOUT_A)
        deleted = table.change({'version/pult-model/a': None})
        assert deleted.outcome == 'accepted'
        for row in ({}, {'state': 'withdrawn'}):
            recreated = table.change({'version/pult-model/a': row})
            assert recreated.outcome == 'rejected'
        assert table.fold.state.is_withdrawn(MODEL, 'a')

    def test_deletion_withdraws(self, table: Table) -> None:
        table.change(
            {
                **ROWS_WITHOUT_A,
                'version/pult-model/a': None,
            }
        )
        assert table.fold.state.is_withdrawn(MODEL, 'a')
        assert set(table.successors('a')) == {'b', 'c'}

    def test_held_version_can_become_live_again(self, table: Table) -> None:
        table.change({'version/pult-model/a': {'state': 'held'}})
        assert not table.fold.state.takes_work(MODEL, 'a')
        table.change({'version/pult-model/a': {'state': 'live'}})
        assert table.fold.state.takes_work(MODEL, 'a')

    def test_audit_shows_before_and_after(self, table: Table) -> None:
        audit_entry = table.withdraw('a')
        row = audit_entry.rows[0]
        assert (audit_entry.author, audit_entry.note, row.key) == (
            'ana',
            'why',
            'version/pult-model/a',
        )
        assert msgspec.json.encode(row.before).startswith(b'{"state":"live"')
        assert bytes(row.after) == b'{"state":"withdrawn"}'


class TestSuccessor:
    """Sessions of a withdrawn version move once, to a stable successor."""

    def test_live_version_is_its_own_successor(self, table: Table) -> None:
        assert set(table.successors('a')) == {'a'}

    def test_weight_changes_move_no_session_again(self, table: Table) -> None:
        table.withdraw('a')
        successors = table.successors('a')
        assert set(successors) == {'b', 'c'}
        for weights in ({'b': 1, 'c': 900}, {'b': 900, 'c': 0}):
            table.change({'model/pult-model': {'weights_by_version': weights}})
            assert table.successors('a') == successors

    def test_only_sessions_of_a_withdrawn_successor_move_on(
        self, table: Table
    ) -> None:
        table.withdraw('a')
        successors = table.successors('a')
        table.withdraw('b')
        assert table.successors('a') == ['c' for _ in successors]
        assert table.successors('b') == ['c' for _ in successors]

    def test_named_successor_takes_precedence(self, table: Table) -> None:
        table.withdraw('a', successor='c')
        assert set(table.successors('a')) == {'c'}

    def test_named_successor_cannot_be_changed(self, table: Table) -> None:
        table.withdraw('a', successor='c')
        assert table.withdraw('a', successor='b').outcome == 'rejected'
        assert set(table.successors('a')) == {'c'}

    def test_disallowed_named_successor_is_skipped(self, table: Table) -> None:
        table.withdraw('a', successor='b')
        assert set(table.successors('a', 'narrow')) == {'c'}

    def test_withdrawn_named_successor_is_skipped(self, table: Table) -> None:
        table.withdraw('b')
        table.withdraw('a', successor='b')
        assert set(table.successors('a')) == {'c'}

    def test_first_live_version_after_all_were_withdrawn(
        self, table: Table
    ) -> None:
        for version in 'abc':
            table.withdraw(version)
        assert set(table.successors('a')) == {None}
        table.change(
            {
                'version/pult-model/d': {},
                'model/pult-model': {'weights_by_version': {'d': 1}},
            }
        )
        assert set(table.successors('c')) == {'d'}

    def test_no_version_is_allowed(self, table: Table) -> None:
        table.withdraw('a')
        table.withdraw('c')
        assert set(table.successors('a', 'narrow')) == {None}
        assert set(table.successors('a', 'nobody')) == {None}
