"""Leases with fencing, and orders to engines that check or do not.

Times are the log's and unbounded. A process decides that it holds the lease,
then gives an order; between the two it may be paused, for any time where the
engine checks, for the largest pause assumed where it does not.
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
NOBODY = -1


class Leases:
    """The actions and properties, whole or broken in one way."""

    def __init__(self, mutant: str) -> None:
        self.mutant = mutant

    def tick(self, state: State) -> Effect:
        """Let time pass."""
        return Effect(state['pass'] > 0, {'now': state['now'] + state['pass']})

    def acquire(self, process: int, state: State) -> Effect:
        """Append a claim, sent at any earlier time; the fold decides."""
        now = state['now']
        is_free = z3.Or(state['owner'] == NOBODY, now > state['expires'])
        if self.mutant == LEASE_BY_LOCAL_CLOCK:
            is_free = z3.BoolVal(True)
        expires = now + state['ttl']
        return Effect(
            z3.And(is_free, self._is_sent(state)),
            {
                'owner': z3.IntVal(process),
                'fence': state['next_offset'],
                'next_offset': state['next_offset'] + 1,
                'expires': expires,
                'won_at': now,
                f'fence{process}': state['next_offset'],
                f'expires{process}': expires,
                f'won_at{process}': now,
                f'safe{process}': _safe(state),
            },
        )

    def renew(self, process: int, state: State) -> Effect:
        """Append a renewal, sent at any earlier time."""
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
            z3.And(is_own, self._is_sent(state)),
            {
                'expires': expires,
                f'expires{process}': expires,
                f'safe{process}': _safe(state),
            },
        )

    def release(self, process: int, state: State) -> Effect:
        """Stop acting, then let another process in."""
        return Effect(
            state['owner'] == process,
            {
                'owner': z3.IntVal(NOBODY),
                f'fence{process}': z3.IntVal(NOBODY),
            },
        )

    def decide(self, process: int, state: State) -> Effect:
        """Find the lease held and make up an order under it."""
        waited = state['now'] >= _open_from(state, state[f'won_at{process}'])
        if self.mutant == PAUSE_NOT_AWAITED:
            waited = z3.BoolVal(True)
        return Effect(
            z3.And(
                self._is_held(state, process),
                z3.Or(state['is_checking'], waited),
            ),
            {
                f'has_order{process}': z3.BoolVal(True),
                f'decided_at{process}': state['now'],
                f'order_fence{process}': state[f'fence{process}'],
            },
        )

    def deliver(self, process: int, state: State) -> Effect:
        """Let the order reach the engine, once or more."""
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

    def start(self, state: State) -> z3.BoolRef:
        """Say where every run begins."""
        return all_of(
            _are_settings_sound(state),
            state['now'] == 0,
            state['owner'] == NOBODY,
            state['fence'] == NOBODY,
            state['highest'] == NOBODY,
            state['next_offset'] == 0,
            state['won_at'] == 0,
            state['in_order'],
            *(
                z3.And(
                    state[f'fence{process}'] == NOBODY,
                    z3.Not(state[f'has_order{process}']),
                )
                for process in range(PROCESSES)
            ),
        )

    def one_holder_acts(self, state: State) -> z3.BoolRef:
        """Say that no two processes find the lease held at once."""
        return z3.Not(
            all_of(*(self._is_held(state, one) for one in range(PROCESSES)))
        )

    def orders_in_fence_order(self, state: State) -> z3.BoolRef:
        """Say that no order was taken after one under a later lease."""
        return state['in_order']

    def invariant(self, state: State) -> z3.BoolRef:
        """Say that a holder is the owner, and that old orders are late."""
        return all_of(
            _are_settings_sound(state),
            state['in_order'],
            state['now'] >= state['won_at'],
            state['owner'] >= NOBODY,
            state['owner'] < PROCESSES,
            state['fence'] < state['next_offset'],
            state['fence'] >= NOBODY,
            state['highest'] <= state['fence'],
            *(self._is_sound(state, one) for one in range(PROCESSES)),
            *(
                self._are_orders_apart(state, one, other)
                for one in range(PROCESSES)
                for other in range(PROCESSES)
            ),
        )

    def _is_sent(self, state: State) -> Any:
        if self.mutant == TTL_FROM_ANSWER:
            return state['sent'] >= state['now']
        return state['sent'] <= state['now']

    def _is_held(self, state: State, process: int) -> Any:
        # A local clock may be behind by less than the margin.
        late = state[f'safe{process}'] + state['margin']
        return z3.And(state[f'fence{process}'] >= 0, state['now'] < late)

    def _is_sound(self, state: State, process: int) -> Any:
        fence = state[f'fence{process}']
        is_owner = state['owner'] == process
        safe = state[f'safe{process}'] + state['margin']
        return z3.And(
            fence <= state['fence'],
            z3.Implies(is_owner, fence == state['fence']),
            z3.Implies(is_owner, fence >= 0),
            z3.Implies(
                is_owner, state[f'expires{process}'] == state['expires']
            ),
            z3.Implies(is_owner, state[f'won_at{process}'] == state['won_at']),
            z3.Implies(fence >= 0, safe <= state[f'expires{process}']),
            z3.Implies(
                z3.And(fence >= 0, z3.Not(is_owner)),
                state['now'] > state[f'expires{process}'],
            ),
            self._is_order_sound(state, process),
        )

    def _is_order_sound(self, state: State, process: int) -> Any:
        fence = state[f'order_fence{process}']
        decided_at = state[f'decided_at{process}']
        opened = decided_at >= _open_from(state, state['won_at'])
        late = state['now'] > decided_at + state['pause']
        return z3.Implies(
            state[f'has_order{process}'],
            z3.And(
                decided_at <= state['now'],
                fence >= 0,
                fence <= state['fence'],
                z3.Implies(
                    fence < state['fence'], decided_at <= state['won_at']
                ),
                z3.Or(state['is_checking'], fence < state['fence'], opened),
                z3.Or(state['is_checking'], fence >= state['highest'], late),
            ),
        )

    def _are_orders_apart(self, state: State, one: int, other: int) -> Any:
        earlier = state[f'decided_at{one}'] + state['pause']
        return z3.Implies(
            z3.And(
                z3.Not(state['is_checking']),
                state[f'has_order{one}'],
                state[f'has_order{other}'],
                state[f'order_fence{one}'] < state[f'order_fence{other}'],
            ),
            earlier < state[f'decided_at{other}'],
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
    """Return the system."""
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
        leases.start,
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
    whole = ('now', 'owner', 'fence', 'expires', 'next_offset', 'won_at')
    own = (
        'fence',
        'safe',
        'expires',
        'won_at',
        'decided_at',
        'order_fence',
    )
    return (
        sorts_of((*settings, *inputs, *whole, 'highest'), z3.IntSort())
        | sorts_of(('in_order', 'is_checking'), z3.BoolSort())
        | per_process(own, PROCESSES, z3.IntSort())
        | per_process(('has_order',), PROCESSES, z3.BoolSort())
    )


def _safe(state: State) -> Any:
    return state['sent'] + state['ttl'] - state['margin']


def _open_from(state: State, won_at: Any) -> Any:
    return won_at + state['ttl'] + state['pause']


def _are_settings_sound(state: State) -> Any:
    return z3.And(
        state['margin'] > 0,
        state['ttl'] > state['margin'],
        state['pause'] > 0,
    )
