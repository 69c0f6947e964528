"""Names of the properties; the state machines of the tests use them too."""

import enum


class Property(enum.Enum):
    """What must always hold; the value is what is printed."""

    WITHDRAWN_STAYS_WITHDRAWN = 'withdrawn_stays_withdrawn'
    SAME_POSITION_SAME_STATE = 'same_position_same_state'
    NEVER_STEPS_BACK = 'never_steps_back'
    RUNS_AT_MOST_ONCE = 'runs_at_most_once'
    NOT_RUN_IS_TRUE = 'not_run_is_true'
    ONE_HOLDER_ACTS = 'one_holder_acts'
    ORDERS_IN_FENCE_ORDER = 'orders_in_fence_order'
    BILLED_ONCE = 'billed_once'
