"""Billing: several hosts append the same bill any number of times."""

import z3

from tools.model_check.properties import Property
from tools.model_check.system import (
    Effect,
    State,
    System,
    all_of,
    specification,
)

REAPPEND_NEW_ID = 'reappend_new_id'
DEPTH = 8


@specification('bills', (REAPPEND_NEW_ID,))
def build(mutant: str) -> System:
    """Return the transition system.

    The response to an append may be lost, so a host repeats the append until
    it gets one. Two hosts keep a bill, and both append it with the id that the
    bill was created with; only the first record with an id counts.
    """

    def append(state: State) -> Effect:
        is_new_id = z3.Not(state['is_id_seen'])
        return Effect(
            z3.BoolVal(True),
            {
                'appends': state['appends'] + 1,
                'counted': state['counted'] + z3.If(is_new_id, 1, 0),
                'is_id_seen': z3.BoolVal(mutant != REAPPEND_NEW_ID),
            },
        )

    def initial(state: State) -> z3.BoolRef:
        return all_of(
            state['appends'] == 0,
            state['counted'] == 0,
            z3.Not(state['is_id_seen']),
        )

    def is_billed_once(state: State) -> z3.BoolRef:
        return state['counted'] <= 1

    def invariant(state: State) -> z3.BoolRef:
        return all_of(
            is_billed_once(state),
            state['counted'] == z3.If(state['is_id_seen'], 1, 0),
        )

    return System(
        'bills',
        {
            'appends': z3.IntSort(),
            'counted': z3.IntSort(),
            'is_id_seen': z3.BoolSort(),
        },
        frozenset(),
        initial,
        {'append': append},
        {Property.BILLED_ONCE: is_billed_once},
        invariant,
        DEPTH,
    )
