"""Leases with fencing tokens, and the orders to engines under them.

A process checks that it holds the lease, then sends an order; it may be paused
in between. If the engine checks fencing tokens (`is_checking`), the pause is
unbounded; if not, it is at most `pause`, the longest pause that is assumed.
Times are log times and unbounded.

`safe` is the time until which a process considers its lease held: `ttl` after
it sent the claim or renewal, less `margin`, which bounds the lag of its clock.
`highest` is the highest fencing token that the engine has accepted.
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

LEASE_BY_LOCAL_CLOCK = 'lease_by_local_clock'
FENCE_NOT_COMPARED = 'fence_not_compared'
PAUSE_NOT_AWAITED = 'pause_not_awaited'
TTL_FROM_ANSWER = 'ttl_counted_from_answer'

PROCESSES = 2
DEPTH = 8
# No owner, or no fencing token.
NONE = -1


class Leases:
    """The actions and properties of the protocol or of one of its mutants."""

    def __init__(self, mutant: str) -> None:
        self.mutant = mutant

    def tick(self, state: State) -> Effect:
        """Let time pass."""
        return Effect(state['pass'] > 0, {'now': state['now'] + state['pass']})

    def acquire(self, process: int, state: State) -> Effect:
        """Append a claim that was sent at any earlier time; it wins if free."""
        now = state['now']
        is_free = z3.Or(state['owner'] == NONE, now > state['expires'])
        if self.mutant == LEASE_BY_LOCAL_CLOCK:
            is_free = z3.BoolVal(True)
        expires = now + state['ttl']
        return Effect(
            z3.And(is_free, self._is_sent_in_past(state)),
            {
                'owner': z3.IntVal(process),
                'fence': state['next_offset'],
                'next_offset': state['next_offset'] + 1,
                'expires': expires,
                'won_at': now,
                f'fence{process}': state['next_offset'],
                f'expires{process}': expires,
                f'won_at{process}': now,
                f'safe{process}': _safe_until(state),
            },
        )

    def renew(self, process: int, state: State) -> Effect:
        """Append a renewal that was sent at any earlier time."""
        is_own = z3.And(
            state['owner'] == process,
            state[f'fence{process}'] == state['fence'],
        )
        expires = z3.If(
            state['now'] + state['ttl'] > state['expires'],
            state['now'] + state['ttl'],
            state['expires'],
        )
        return Effect(
            z3.And(is_own, self._is_sent_in_past(state)),
            {
                'expires': expires,
                f'expires{process}': expires,
                f'safe{process}': _safe_until(state),
            },
        )

    def release(self, process: int, state: State) -> Effect:
        """Stop acting under the lease, then release it on the log."""
        return Effect(
            state['owner'] == process,
            {
                'owner': z3.IntVal(NONE),
                f'fence{process}': z3.IntVal(NONE),
            },
        )

    def decide(self, process: int, state: State) -> Effect:
        """Check that the lease is held and create an order under it.

        If the engine does not check fencing tokens, a new holder first waits
        until no order of an earlier holder can arrive any more.
        """
        has_waited = state['now'] >= _decisions_allowed_from(
            state, state[f'won_at{process}']
        )
        if self.mutant == PAUSE_NOT_AWAITED:
            has_waited = z3.BoolVal(True)
        return Effect(
            z3.And(
                self._is_held(state, process),
                z3.Or(state['is_checking'], has_waited),
            ),
            {
                f'has_order{process}': z3.BoolVal(True),
                f'decided_at{process}': state['now'],
                f'order_fence{process}': state[f'fence{process}'],
            },
        )

    def deliver(self, process: int, state: State) -> Effect:
        """Deliver the order to the engine; deliveries may repeat."""
        fence = state[f'order_fence{process}']
        is_newest = fence >= state['highest']
        in_time = state['now'] <= (
            state[f'decided_at{process}'] + state['pause']
        )
        refuses = z3.And(state['is_checking'], z3.Not(is_newest))
        if self.mutant == FENCE_NOT_COMPARED:
            refuses = z3.BoolVal(False)
        return Effect(
            z3.And(
                state[f'has_order{process}'],
                z3.Or(state['is_checking'], in_time),
                z3.Not(refuses),
            ),
            {
                'highest': z3.If(is_newest, fence, state['highest']),
                'in_order': z3.And(state['in_order'], is_newest),
            },
        )

    def initial(self, state: State) -> z3.BoolRef:
        """Return the predicate of the initial states."""
        return all_of(
            _are_settings_valid(state),
            state['now'] == 0,
            state['owner'] == NONE,
            state['fence'] == NONE,
            state['highest'] == NONE,
            state['next_offset'] == 0,
            state['won_at'] == 0,
            state['in_order'],
            *(
                z3.And(
                    state[f'fence{process}'] == NONE,
                    z3.Not(state[f'has_order{process}']),
                )
                for process in range(PROCESSES)
            ),
        )

    def one_holder_acts(self, state: State) -> z3.BoolRef:
        """Require that at most one of the two processes holds the lease."""
        return z3.Not(
            all_of(
                *(self._is_held(state, process) for process in range(PROCESSES))
            )
        )

    def orders_in_fence_order(self, state: State) -> z3.BoolRef:
        """Require that no order was accepted after one with a higher token."""
        return state['in_order']

    def invariant(self, state: State) -> z3.BoolRef:
        """Require that only the owner acts and stale orders have expired."""
        return all_of(
            _are_settings_valid(state),
            state['in_order'],
            state['now'] >= state['won_at'],
            state['owner'] >= NONE,
            state['owner'] < PROCESSES,
            state['fence'] < state['next_offset'],
            state['fence'] >= NONE,
            state['highest'] <= state['fence'],
            *(
                self._process_invariant(state, process)
                for process in range(PROCESSES)
            ),
            *(
                self._are_orders_disjoint(state, one, other)
                for one in range(PROCESSES)
                for other in range(PROCESSES)
            ),
        )

    def _is_sent_in_past(self, state: State) -> Any:
        if self.mutant == TTL_FROM_ANSWER:
            return state['sent'] >= state['now']
        return state['sent'] <= state['now']

    def _is_held(self, state: State, process: int) -> Any:
        # The process's clock may lag by less than the margin.
        held_until = state[f'safe{process}'] + state['margin']
        return z3.And(state[f'fence{process}'] >= 0, state['now'] < held_until)

    def _process_invariant(self, state: State, process: int) -> Any:
        fence = state[f'fence{process}']
        is_owner = state['owner'] == process
        held_until = state[f'safe{process}'] + state['margin']
        return z3.And(
            fence <= state['fence'],
            z3.Implies(is_owner, fence == state['fence']),
            z3.Implies(is_owner, fence >= 0),
            z3.Implies(
                is_owner, state[f'expires{process}'] == state['expires']
            ),
            z3.Implies(is_owner, state[f'won_at{process}'] == state['won_at']),
            z3.Implies(fence >= 0, held_until <= state[f'expires{process}']),
            z3.Implies(
                z3.And(fence >= 0, z3.Not(is_owner)),
                state['now'] > state[f'expires{process}'],
            ),
            self._order_invariant(state, process),
        )

    def _order_invariant(self, state: State, process: int) -> Any:
        fence = state[f'order_fence{process}']
        decided_at = state[f'decided_at{process}']
        has_waited = decided_at >= _decisions_allowed_from(
            state, state['won_at']
        )
        has_expired = state['now'] > decided_at + state['pause']
        return z3.Implies(
            state[f'has_order{process}'],
            z3.And(
                decided_at <= state['now'],
                fence >= 0,
                fence <= state['fence'],
                z3.Implies(
                    fence < state['fence'], decided_at <= state['won_at']
                ),
                z3.Or(state['is_checking'], fence < state['fence'], has_waited),
                z3.Or(
                    state['is_checking'], fence >= state['highest'], has_expired
                ),
            ),
        )

    def _are_orders_disjoint(self, state: State, one: int, other: int) -> Any:
        latest_arrival = state[f'decided_at{one}'] + state['pause']
        return z3.Implies(
            z3.And(
                z3.Not(state['is_checking']),
                state[f'has_order{one}'],
                state[f'has_order{other}'],
                state[f'order_fence{one}'] < state[f'order_fence{other}'],
            ),
            latest_arrival < state[f'decided_at{other}'],
        )


@specification(
    'leases',
    (
        LEASE_BY_LOCAL_CLOCK,
        FENCE_NOT_COMPARED,
        PAUSE_NOT_AWAITED,
        TTL_FROM_ANSWER,
    ),
)
def build(mutant: str) -> System:
    """Return the transition system."""
    leases = Leases(mutant)
    steps = (
        leases.acquire,
        leases.renew,
        leases.release,
        leases.decide,
        leases.deliver,
    )
    actions = {'tick': leases.tick} | actions_of(steps, PROCESSES)
    return System(
        'leases',
        _sorts(),
        frozenset(('pass', 'sent')),
        leases.initial,
        actions,
        {
            Property.ONE_HOLDER_ACTS: leases.one_holder_acts,
            Property.ORDERS_IN_FENCE_ORDER: leases.orders_in_fence_order,
        },
        leases.invariant,
        DEPTH,
    )


def _sorts() -> dict[str, Any]:
    settings = ('ttl', 'margin', 'pause')
    inputs = ('pass', 'sent')
    shared = ('now', 'owner', 'fence', 'expires', 'next_offset', 'won_at')
    own = (
        'fence',
        'safe',
        'expires',
        'won_at',
        'decided_at',
        'order_fence',
    )
    return (
        sorts_of((*settings, *inputs, *shared, 'highest'), z3.IntSort())
        | sorts_of(('in_order', 'is_checking'), z3.BoolSort())
        | per_process(own, PROCESSES, z3.IntSort())
        | per_process(('has_order',), PROCESSES, z3.BoolSort())
    )


def _safe_until(state: State) -> Any:
    return state['sent'] + state['ttl'] - state['margin']


def _decisions_allowed_from(state: State, won_at: Any) -> Any:
    return won_at + state['ttl'] + state['pause']


def _are_settings_valid(state: State) -> Any:
    return z3.And(
        state['margin'] > 0,
        state['ttl'] > state['margin'],
        state['pause'] > 0,
    )
