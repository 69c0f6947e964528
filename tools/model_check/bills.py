"""Bills: any number of appends of one bill, by any number of hosts."""

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
    """Return the system; each append's answer may be lost.

    A host appends for as long as it knows of no answer. Both hosts that
    keep a bill do so, under the id that the bill was given.
    """

    def append(state: State) -> Effect:
        is_counted = z3.Not(state['is_id_seen'])
        return Effect(
            z3.BoolVal(True),
            {
                'appends': state['appends'] + 1,
                'counted': state['counted'] + z3.If(is_counted, 1, 0),
                'is_id_seen': z3.BoolVal(mutant != REAPPEND_NEW_ID),
            },
        )

    def start(state: State) -> z3.BoolRef:
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
        start,
        {'append': append},
        {Property.BILLED_ONCE: is_billed_once},
        invariant,
        DEPTH,
    )
