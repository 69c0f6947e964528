"""Names of the safety properties.

The stateful tests of the components refer to them as well.
"""

import enum


class Property(enum.Enum):
    """A property that holds in every reachable state."""

    # After its withdrawal, a version is never given work again.
    WITHDRAWN_STAYS_WITHDRAWN = 'withdrawn_stays_withdrawn'
    # Daemons that have folded the log up to the same offset have equal state.
    SAME_POSITION_SAME_STATE = 'same_position_same_state'
    # The log position of a daemon never decreases.
    NEVER_STEPS_BACK = 'never_steps_back'
    # A non-repeatable request is executed at most once.
    RUNS_AT_MOST_ONCE = 'runs_at_most_once'
    # A request that is reported as not run was not executed.
    NOT_RUN_IS_TRUE = 'not_run_is_true'
    # At most one process considers itself the holder of a lease.
    ONE_HOLDER_ACTS = 'one_holder_acts'
    # An engine accepts orders in the sequence of their fencing tokens.
    ORDERS_IN_FENCE_ORDER = 'orders_in_fence_order'
    # A bill counts at most once.
    BILLED_ONCE = 'billed_once'
