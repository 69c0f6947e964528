"""Claim, then run: one order at several hosts that may pause anywhere.

Times are the log's and unbounded; the order was made at time zero. A claim
is folded at its append: the first one wins until it has expired with the
log, and none is taken once the order is older than the window.
"""

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

CLAIM_AFTER_RUN = 'claim_after_run'
RUN_BEFORE_READ_BACK = 'run_before_read_back'
CLAIM_LAPSES = 'claim_lapses'
NOT_RUN_AFTER_SEND = 'not_run_after_send'
WINDOW_LONGER = 'window_longer_than_retention'

PROCESSES = 3
DEPTH = 8
NOBODY = -1
LAPSE = 10

# What a process knows of its order.
IDLE = 0
SENT = 1
WON = 2
RAN = 3
NOT_RUN = 4


class Claims:
    """The actions and properties, whole or broken in one way."""

    def __init__(self, mutant: str) -> None:
        self.mutant = mutant

    def tick(self, state: State) -> Effect:
        """Let time pass."""
        return Effect(state['pass'] > 0, {'now': state['now'] + state['pass']})

    def append(self, process: int, state: State) -> Effect:
        """Append the claim, or the same one again; the answer may be lost."""
        phase = state[f'phase{process}']
        is_first = z3.Not(state[f'claimed{process}'])
        is_free = z3.Or(state['owner'] == NOBODY, self._is_gone(state))
        in_window = state['now'] <= state['window']
        wins = z3.And(is_first, is_free, in_window)
        return Effect(
            z3.Or(phase == IDLE, phase == SENT),
            {
                f'phase{process}': z3.IntVal(SENT),
                f'claimed{process}': z3.BoolVal(True),
                f'won{process}': z3.Or(state[f'won{process}'], wins),
                'owner': z3.If(wins, process, state['owner']),
                'owner_time': z3.If(wins, state['now'], state['owner_time']),
            },
        )

    def read_back(self, process: int, state: State) -> Effect:
        """Fold the own claim, at any later time."""
        has_won = state[f'won{process}']
        return Effect(
            state[f'phase{process}'] == SENT,
            {f'phase{process}': z3.If(has_won, WON, NOT_RUN)},
        )

    def run(self, process: int, state: State) -> Effect:
        """Send the call to the upstream, at any time after the claim."""
        ready = {CLAIM_AFTER_RUN: IDLE, RUN_BEFORE_READ_BACK: SENT}
        phase = ready.get(self.mutant, WON)
        return Effect(
            state[f'phase{process}'] == phase,
            {
                f'phase{process}': z3.IntVal(RAN),
                f'runs{process}': state[f'runs{process}'] + 1,
            },
        )

    def give_up(self, process: int, state: State) -> Effect:
        """Tell that the order did not run, and free it."""
        phase = state[f'phase{process}']
        may_give_up = phase == WON
        if self.mutant == NOT_RUN_AFTER_SEND:
            may_give_up = z3.Or(phase == WON, phase == RAN)
        return Effect(
            may_give_up,
            {
                f'phase{process}': z3.IntVal(NOT_RUN),
                'owner': z3.If(
                    state['owner'] == process, NOBODY, state['owner']
                ),
            },
        )

    def start(self, state: State) -> z3.BoolRef:
        """Say where every run begins."""
        is_window_short = state['window'] < state['retention']
        if self.mutant == WINDOW_LONGER:
            is_window_short = state['window'] > state['retention']
        return all_of(
            state['now'] >= 0,
            state['owner'] == NOBODY,
            state['owner_time'] == 0,
            state['retention'] > 0,
            is_window_short,
            *(self._is_idle(state, process) for process in range(PROCESSES)),
        )

    def runs_at_most_once(self, state: State) -> z3.BoolRef:
        """Say that all processes together run it once at most."""
        return z3.Sum(_each(state, 'runs')) <= 1

    def is_not_run_true(self, state: State) -> z3.BoolRef:
        """Say that who tells `not run` has not run it."""
        return all_of(
            *(
                z3.Implies(phase == NOT_RUN, runs == 0)
                for phase, runs in zip(
                    _each(state, 'phase'), _each(state, 'runs'), strict=True
                )
            )
        )

    def invariant(self, state: State) -> z3.BoolRef:
        """Say that whoever may run it is the owner."""
        return all_of(
            state['now'] >= 0,
            state['owner_time'] >= 0,
            state['window'] < state['retention'],
            *(self._is_sound(state, process) for process in range(PROCESSES)),
        )

    def _is_gone(self, state: State) -> Any:
        lasts = LAPSE if self.mutant == CLAIM_LAPSES else state['retention']
        return state['now'] > state['owner_time'] + lasts

    def _is_idle(self, state: State, process: int) -> Any:
        return z3.And(
            state[f'phase{process}'] == IDLE,
            state[f'runs{process}'] == 0,
            z3.Not(state[f'won{process}']),
            z3.Not(state[f'claimed{process}']),
        )

    def _is_sound(self, state: State, process: int) -> Any:
        phase = state[f'phase{process}']
        has_won = state[f'won{process}']
        is_done = phase == NOT_RUN
        return z3.And(
            phase >= IDLE,
            phase <= NOT_RUN,
            z3.Implies(has_won, state[f'claimed{process}']),
            z3.Implies(
                z3.And(has_won, z3.Not(is_done)), state['owner'] == process
            ),
            z3.Implies(z3.Or(phase == WON, phase == RAN), has_won),
            z3.Implies(phase == IDLE, z3.Not(state[f'claimed{process}'])),
            state[f'runs{process}'] == z3.If(phase == RAN, 1, 0),
        )


def _each(state: State, name: str) -> list[Any]:
    return [state[f'{name}{process}'] for process in range(PROCESSES)]


@specification(
    'claims',
    (
        CLAIM_AFTER_RUN,
        RUN_BEFORE_READ_BACK,
        CLAIM_LAPSES,
        NOT_RUN_AFTER_SEND,
        WINDOW_LONGER,
    ),
)
def build(mutant: str) -> System:
    """Return the system."""
    claims = Claims(mutant)
    steps = (
        claims.append,
        claims.read_back,
        claims.run,
        claims.give_up,
    )
    actions = {'tick': claims.tick} | actions_of(steps, PROCESSES)
    whole = ('now', 'pass', 'owner', 'owner_time', 'window', 'retention')
    return System(
        'claims',
        sorts_of(whole, z3.IntSort())
        | per_process(('phase', 'runs'), PROCESSES, z3.IntSort())
        | per_process(('claimed', 'won'), PROCESSES, z3.BoolSort()),
        frozenset(('pass',)),
        claims.start,
        actions,
        {
            Property.RUNS_AT_MOST_ONCE: claims.runs_at_most_once,
            Property.NOT_RUN_IS_TRUE: claims.is_not_run_true,
        },
        claims.invariant,
        DEPTH,
    )
