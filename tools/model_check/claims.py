"""Claims: several hosts compete to execute one non-repeatable request.

A host claims the request on the log, reads its own claim back and executes the
request only if the claim won. Hosts may pause at any point. Times are log times
and unbounded; the request was created at time zero. The first claim on the log
wins until it is released or has expired with the log's retention, and no claim
wins once the request is older than the window.
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
NO_OWNER = -1
# Lifetime of a claim in the CLAIM_LAPSES mutant, in place of the retention.
LAPSED_CLAIM_TTL = 10

# The phases of a process.
IDLE = 0
SENT = 1
WON = 2
RAN = 3
NOT_RUN = 4


class Claims:
    """The actions and properties of the protocol or of one of its mutants."""

    def __init__(self, mutant: str) -> None:
        self.mutant = mutant

    def tick(self, state: State) -> Effect:
        """Let time pass."""
        return Effect(state['pass'] > 0, {'now': state['now'] + state['pass']})

    def append(self, process: int, state: State) -> Effect:
        """Append the claim, possibly repeatedly; the response may be lost."""
        phase = state[f'phase{process}']
        is_first = z3.Not(state[f'claimed{process}'])
        is_free = z3.Or(
            state['owner'] == NO_OWNER, self._is_claim_expired(state)
        )
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
        """Fold the process's own claim, at any later time."""
        has_won = state[f'won{process}']
        return Effect(
            state[f'phase{process}'] == SENT,
            {f'phase{process}': z3.If(has_won, WON, NOT_RUN)},
        )

    def run(self, process: int, state: State) -> Effect:
        """Forward the request to the upstream, at any time after the claim."""
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
        """Report that the request did not run, and release the claim."""
        phase = state[f'phase{process}']
        may_give_up = phase == WON
        if self.mutant == NOT_RUN_AFTER_SEND:
            may_give_up = z3.Or(phase == WON, phase == RAN)
        return Effect(
            may_give_up,
            {
                f'phase{process}': z3.IntVal(NOT_RUN),
                'owner': z3.If(
                    state['owner'] == process, NO_OWNER, state['owner']
                ),
            },
        )

    def initial(self, state: State) -> z3.BoolRef:
        """Return the predicate of the initial states."""
        is_window_short = state['window'] < state['retention']
        if self.mutant == WINDOW_LONGER:
            is_window_short = state['window'] > state['retention']
        return all_of(
            state['now'] >= 0,
            state['owner'] == NO_OWNER,
            state['owner_time'] == 0,
            state['retention'] > 0,
            is_window_short,
            *(self._is_idle(state, process) for process in range(PROCESSES)),
        )

    def runs_at_most_once(self, state: State) -> z3.BoolRef:
        """Require that all processes together execute it at most once."""
        return z3.Sum(_process_values(state, 'runs')) <= 1

    def not_run_is_true(self, state: State) -> z3.BoolRef:
        """Require that a process that reports `not run` did not execute it."""
        return all_of(
            *(
                z3.Implies(phase == NOT_RUN, runs == 0)
                for phase, runs in zip(
                    _process_values(state, 'phase'),
                    _process_values(state, 'runs'),
                    strict=True,
                )
            )
        )

    def invariant(self, state: State) -> z3.BoolRef:
        """Require that only the owner of the request may execute it."""
        return all_of(
            state['now'] >= 0,
            state['owner_time'] >= 0,
            state['window'] < state['retention'],
            *(
                self._process_invariant(state, process)
                for process in range(PROCESSES)
            ),
        )

    def _is_claim_expired(self, state: State) -> Any:
        ttl = (
            LAPSED_CLAIM_TTL
            if self.mutant == CLAIM_LAPSES
            else state['retention']
        )
        return state['now'] > state['owner_time'] + ttl

    def _is_idle(self, state: State, process: int) -> Any:
        return z3.And(
            state[f'phase{process}'] == IDLE,
            state[f'runs{process}'] == 0,
            z3.Not(state[f'won{process}']),
            z3.Not(state[f'claimed{process}']),
        )

    def _process_invariant(self, state: State, process: int) -> Any:
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


def _process_values(state: State, name: str) -> list[Any]:
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
    """Return the transition system."""
    claims = Claims(mutant)
    steps = (
        claims.append,
        claims.read_back,
        claims.run,
        claims.give_up,
    )
    actions = {'tick': claims.tick} | actions_of(steps, PROCESSES)
    shared = ('now', 'pass', 'owner', 'owner_time', 'window', 'retention')
    return System(
        'claims',
        sorts_of(shared, z3.IntSort())
        | per_process(('phase', 'runs'), PROCESSES, z3.IntSort())
        | per_process(('claimed', 'won'), PROCESSES, z3.BoolSort()),
        frozenset(('pass',)),
        claims.initial,
        actions,
        {
            Property.RUNS_AT_MOST_ONCE: claims.runs_at_most_once,
            Property.NOT_RUN_IS_TRUE: claims.not_run_is_true,
        },
        claims.invariant,
        DEPTH,
    )
