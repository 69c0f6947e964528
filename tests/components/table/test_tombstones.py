"""Withdrawn versions stay withdrawn, and their successors stay the same."""

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

UNUSED_A: dict[str, Any] = {
    'model/pult-model': {'weights_by_version': {'b': 1, 'c': 1}},
    'workspace/narrow': {'key_digests': []},
}


class Table:
    """A fold that is fed changes at rising offsets."""

    def __init__(self) -> None:
        self.fold = TableFold()
        self.entries: list[LogEntry] = []
        assert self.change(ROWS).outcome == 'accepted'

    def change(self, rows: dict[str, Any]) -> AuditEntry:
        """Fold a change that read the current rows."""
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
        audited = self.fold.outcome_of(record.id)
        assert audited is not None
        return audited

    def revision(self, key: str) -> int:
        """Return a row's revision, -1 if there is none."""
        stored = self.fold.state.rows_by_key.get(key)
        return stored.revision if stored else -1

    def withdraw(self, version: str, **columns: Any) -> AuditEntry:
        """Withdraw a version."""
        row = columns | {'state': 'withdrawn'}
        return self.change({f'version/{MODEL}/{version}': row})

    def successors(self, version: str, workspace: str = 'bench') -> list[Any]:
        """Return the successors of a hundred sessions of a version."""
        return [
            self.fold.state.successor_of(workspace, MODEL, version, f's{n}')
            for n in range(100)
        ]


@pytest.fixture
def table() -> Table:
    """Return a table with three versions."""
    return Table()


class TestWithdrawal:
    """A withdrawal is final."""

    @pytest.mark.parametrize('state', ['live', 'held'])
    def test_never_comes_back(self, table: Table, state: str) -> None:
        table.withdraw('a')
        refused = table.change({'version/pult-model/a': {'state': state}})
        assert (refused.outcome, 'final' in refused.reason) == (
            'rejected',
            True,
        )
        assert not table.fold.state.takes_work(MODEL, 'a')

    def test_name_is_not_used_again_after_deletion(self, table: Table) -> None:
        table.withdraw('a')
        table.change(UNUSED_A)
        gone = table.change({'version/pult-model/a': None})
        assert gone.outcome == 'accepted'
        for row in ({}, {'state': 'withdrawn'}):
            again = table.change({'version/pult-model/a': row})
            assert again.outcome == 'rejected'
        assert table.fold.state.is_withdrawn(MODEL, 'a')

    def test_deletion_withdraws(self, table: Table) -> None:
        table.change(
            {
                **UNUSED_A,
                'version/pult-model/a': None,
            }
        )
        assert table.fold.state.is_withdrawn(MODEL, 'a')
        assert set(table.successors('a')) == {'b', 'c'}

    def test_held_version_returns(self, table: Table) -> None:
        table.change({'version/pult-model/a': {'state': 'held'}})
        assert not table.fold.state.takes_work(MODEL, 'a')
        table.change({'version/pult-model/a': {'state': 'live'}})
        assert table.fold.state.takes_work(MODEL, 'a')

    def test_audit_shows_before_and_after(self, table: Table) -> None:
        audited = table.withdraw('a')
        row = audited.rows[0]
        assert (audited.author, audited.note, row.key) == (
            'ana',
            'why',
            'version/pult-model/a',
        )
        assert msgspec.json.encode(row.before).startswith(b'{"state":"live"')
        assert bytes(row.after) == b'{"state":"withdrawn"}'


class TestSuccessor:
    """Sessions of a withdrawn version move once, to the same version."""

    def test_version_in_use_is_its_own_successor(self, table: Table) -> None:
        assert set(table.successors('a')) == {'a'}

    def test_stays_after_weight_changes(self, table: Table) -> None:
        table.withdraw('a')
        drawn = table.successors('a')
        assert set(drawn) == {'b', 'c'}
        for weights in ({'b': 1, 'c': 900}, {'b': 900, 'c': 0}):
            table.change({'model/pult-model': {'weights_by_version': weights}})
            assert table.successors('a') == drawn

    def test_only_sessions_of_a_withdrawn_successor_move_on(
        self, table: Table
    ) -> None:
        table.withdraw('a')
        drawn = table.successors('a')
        table.withdraw('b')
        assert table.successors('a') == ['c' for _ in drawn]
        assert table.successors('b') == ['c' for _ in drawn]

    def test_named_successor_wins(self, table: Table) -> None:
        table.withdraw('a', successor='c')
        assert set(table.successors('a')) == {'c'}

    def test_named_successor_is_fixed(self, table: Table) -> None:
        table.withdraw('a', successor='c')
        assert table.withdraw('a', successor='b').outcome == 'rejected'
        assert set(table.successors('a')) == {'c'}

    def test_named_successor_that_is_not_allowed(self, table: Table) -> None:
        table.withdraw('a', successor='b')
        assert set(table.successors('a', 'narrow')) == {'c'}

    def test_named_successor_that_was_withdrawn(self, table: Table) -> None:
        table.withdraw('b')
        table.withdraw('a', successor='b')
        assert set(table.successors('a')) == {'c'}

    def test_first_version_live_again_after_all_were_withdrawn(
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
