"""The fold of the table with snapshots and relay, for the row of one version.

The log is unbounded. Two daemons represent any pair of daemons, since no
statement about a daemon depends on how many there are.

`row_at` and `dead_at` hold the row and whether it has a tombstone after each
number of log entries. The variables with the suffix `_kept` are the snapshot.
`furthest` is the furthest position that a daemon has reached.
"""

import dataclasses
from typing import Any

import z3

from tools.model_check.properties import Property
from tools.model_check.system import (
    Effect,
    State,
    System,
    actions_of,
    all_of,
    per_process,
    sorts_of,
    specification,
)

RELAY_IGNORES_OFFSETS = 'relay_ignores_offsets'
SNAPSHOT_FORGETS = 'snapshot_forgets_tombstones'
RESTORE_STEPS_BACK = 'restore_steps_back'
WITHDRAWAL_NOT_FINAL = 'withdrawal_not_final'

DAEMONS = 2
DEPTH = 6
# Value of `withdrawn_at` before the log has a tombstone for the version.
NOT_WITHDRAWN = -1

# The states of a row. A change is represented by the state it requests.
NO_ROW, LIVE, HELD, WITHDRAWN = range(4)


@dataclasses.dataclass(frozen=True, slots=True)
class RowState:
    """The state of the row and whether the version has a tombstone."""

    row: Any
    has_tombstone: Any


class Table:
    """The actions and properties of the protocol or of one of its mutants."""

    def __init__(self, mutant: str) -> None:
        self.mutant = mutant

    def fold(self, before: RowState, change: Any) -> RowState:
        """Return the row after a change, which the fold may reject."""
        takes_work = z3.Or(change == LIVE, change == HELD)
        is_reused = z3.And(before.row == NO_ROW, change == WITHDRAWN)
        is_rejected = z3.And(before.has_tombstone, z3.Or(takes_work, is_reused))
        if self.mutant == WITHDRAWAL_NOT_FINAL:
            is_rejected = z3.BoolVal(False)
        is_deleted = z3.And(change == NO_ROW, before.row != NO_ROW)
        adds_tombstone = z3.Or(change == WITHDRAWN, is_deleted)
        return RowState(
            z3.If(is_rejected, before.row, change),
            z3.Or(before.has_tombstone, adds_tombstone),
        )

    def append(self, state: State) -> Effect:
        """Append an arbitrary change to the log."""
        length = state['length']
        after = self.fold(_row_at(state, length), state['change'])
        is_first = z3.And(
            after.has_tombstone, state['withdrawn_at'] == NOT_WITHDRAWN
        )
        return Effect(
            z3.And(state['change'] >= NO_ROW, state['change'] <= WITHDRAWN),
            {
                'log': z3.Store(state['log'], length, state['change']),
                'row_at': z3.Store(state['row_at'], length + 1, after.row),
                'dead_at': z3.Store(
                    state['dead_at'], length + 1, after.has_tombstone
                ),
                'length': length + 1,
                'withdrawn_at': z3.If(is_first, length, state['withdrawn_at']),
            },
        )

    def read(self, daemon: int, state: State) -> Effect:
        """Read and fold the next entry of the log."""
        position = state[f'position{daemon}']
        return Effect(
            position < state['length'],
            self._fold_into(daemon, state, position),
        )

    def relay(self, daemon: int, state: State) -> Effect:
        """Fold an entry that the other daemon has folded and relays."""
        offset = state['offset']
        other = 1 - daemon
        is_next = offset == state[f'position{daemon}']
        if self.mutant == RELAY_IGNORES_OFFSETS:
            is_next = z3.BoolVal(True)
        return Effect(
            z3.And(offset >= 0, offset < state[f'position{other}'], is_next),
            self._fold_into(daemon, state, offset),
        )

    def snapshot(self, daemon: int, state: State) -> Effect:
        """Store the daemon's state as the snapshot for all daemons."""
        has_tombstone = state[f'dead{daemon}']
        if self.mutant == SNAPSHOT_FORGETS:
            has_tombstone = z3.BoolVal(False)
        return Effect(
            z3.BoolVal(True),
            {
                'position_kept': state[f'position{daemon}'],
                'row_kept': state[f'row{daemon}'],
                'dead_kept': has_tombstone,
            },
        )

    def restore(self, daemon: int, state: State) -> Effect:
        """Load the snapshot if it is ahead of the daemon."""
        is_ahead = state['position_kept'] > state[f'position{daemon}']
        if self.mutant == RESTORE_STEPS_BACK:
            is_ahead = z3.BoolVal(True)
        return Effect(
            is_ahead,
            {
                f'position{daemon}': state['position_kept'],
                f'row{daemon}': state['row_kept'],
                f'dead{daemon}': state['dead_kept'],
                f'furthest{daemon}': _maximum(
                    state['position_kept'], state[f'furthest{daemon}']
                ),
            },
        )

    def replace(self, daemon: int, state: State) -> Effect:
        """Replace the daemon by a new one with an empty state."""
        return Effect(
            z3.BoolVal(True),
            {
                f'position{daemon}': z3.IntVal(0),
                f'row{daemon}': z3.IntVal(NO_ROW),
                f'dead{daemon}': z3.BoolVal(False),
                f'furthest{daemon}': z3.IntVal(0),
            },
        )

    def initial(self, state: State) -> z3.BoolRef:
        """Return the predicate of the initial states."""
        return all_of(
            state['length'] == 0,
            state['withdrawn_at'] == NOT_WITHDRAWN,
            state['row_at'][0] == NO_ROW,
            z3.Not(state['dead_at'][0]),
            state['position_kept'] == 0,
            state['row_kept'] == NO_ROW,
            z3.Not(state['dead_kept']),
            *(
                z3.And(
                    state[f'position{daemon}'] == 0,
                    state[f'row{daemon}'] == NO_ROW,
                    z3.Not(state[f'dead{daemon}']),
                    state[f'furthest{daemon}'] == 0,
                )
                for daemon in range(DAEMONS)
            ),
        )

    def stays_withdrawn(self, state: State) -> z3.BoolRef:
        """Require that no daemon uses the version after its withdrawal."""
        withdrawn_at = state['withdrawn_at']
        return all_of(
            *(
                z3.Implies(
                    z3.And(
                        withdrawn_at != NOT_WITHDRAWN,
                        state[f'position{daemon}'] > withdrawn_at,
                    ),
                    _takes_no_work(state[f'row{daemon}']),
                )
                for daemon in range(DAEMONS)
            )
        )

    def same_position_same_state(self, state: State) -> z3.BoolRef:
        """Require that daemons at the same position have the same state."""
        return z3.Implies(
            state['position0'] == state['position1'],
            z3.And(
                state['row0'] == state['row1'],
                state['dead0'] == state['dead1'],
            ),
        )

    def never_steps_back(self, state: State) -> z3.BoolRef:
        """Require that no daemon is behind the furthest position it reached."""
        return all_of(
            *(
                state[f'position{daemon}'] >= state[f'furthest{daemon}']
                for daemon in range(DAEMONS)
            )
        )

    def invariant(self, state: State) -> z3.BoolRef:
        """Require that each copy equals the fold of the log at its position."""
        index = z3.Int('index')
        at_index = _row_at(state, index)
        is_withdrawn = state['withdrawn_at'] != NOT_WITHDRAWN
        in_log = z3.And(index >= 0, index <= state['length'])
        folded = self.fold(at_index, state['log'][index])
        follows = z3.And(
            state['row_at'][index + 1] == folded.row,
            state['dead_at'][index + 1] == folded.has_tombstone,
        )
        sound = z3.And(
            z3.Implies(at_index.has_tombstone, _takes_no_work(at_index.row)),
            z3.Implies(
                z3.And(is_withdrawn, index > state['withdrawn_at']),
                at_index.has_tombstone,
            ),
            z3.Implies(index < state['length'], follows),
        )
        copies = [f'{daemon}' for daemon in range(DAEMONS)]
        return all_of(
            state['row_at'][0] == NO_ROW,
            z3.Not(state['dead_at'][0]),
            state['withdrawn_at'] >= NOT_WITHDRAWN,
            state['withdrawn_at'] < state['length'],
            z3.ForAll([index], z3.Implies(in_log, sound)),
            *(_matches_log(state, suffix) for suffix in (*copies, '_kept')),
            *(
                state[f'furthest{copy}'] == state[f'position{copy}']
                for copy in copies
            ),
        )

    def _fold_into(
        self, daemon: int, state: State, offset: Any
    ) -> dict[str, Any]:
        own = RowState(state[f'row{daemon}'], state[f'dead{daemon}'])
        after = self.fold(own, state['log'][offset])
        return {
            f'position{daemon}': offset + 1,
            f'row{daemon}': after.row,
            f'dead{daemon}': after.has_tombstone,
            f'furthest{daemon}': _maximum(
                offset + 1, state[f'furthest{daemon}']
            ),
        }


def _row_at(state: State, offset: Any) -> RowState:
    return RowState(state['row_at'][offset], state['dead_at'][offset])


def _takes_no_work(row: Any) -> Any:
    return z3.Or(row == NO_ROW, row == WITHDRAWN)


def _maximum(left: Any, right: Any) -> Any:
    return z3.If(left > right, left, right)


def _matches_log(state: State, suffix: str) -> Any:
    position = state[f'position{suffix}']
    expected = _row_at(state, position)
    return z3.And(
        position >= 0,
        position <= state['length'],
        state[f'row{suffix}'] == expected.row,
        state[f'dead{suffix}'] == expected.has_tombstone,
    )


@specification(
    'table',
    (
        RELAY_IGNORES_OFFSETS,
        SNAPSHOT_FORGETS,
        RESTORE_STEPS_BACK,
        WITHDRAWAL_NOT_FINAL,
    ),
)
def build(mutant: str) -> System:
    """Return the transition system."""
    table = Table(mutant)
    steps = (
        table.read,
        table.relay,
        table.snapshot,
        table.restore,
        table.replace,
    )
    actions = {'append': table.append} | actions_of(steps, DAEMONS)
    numbers = ('length', 'withdrawn_at', 'position_kept', 'row_kept')
    changes = z3.ArraySort(z3.IntSort(), z3.IntSort())
    return System(
        'table',
        sorts_of((*numbers, 'change', 'offset'), z3.IntSort())
        | {'log': changes, 'row_at': changes, 'dead_kept': z3.BoolSort()}
        | {'dead_at': z3.ArraySort(z3.IntSort(), z3.BoolSort())}
        | per_process(('position', 'row', 'furthest'), DAEMONS, z3.IntSort())
        | per_process(('dead',), DAEMONS, z3.BoolSort()),
        frozenset(('change', 'offset')),
        table.initial,
        actions,
        {
            Property.WITHDRAWN_STAYS_WITHDRAWN: table.stays_withdrawn,
            Property.SAME_POSITION_SAME_STATE: table.same_position_same_state,
            Property.NEVER_STEPS_BACK: table.never_steps_back,
        },
        table.invariant,
        DEPTH,
    )
