"""Log events of the rollouts component."""

from marigoldhoist.core.events import declare_event

ROLL_OUT_MOVED = declare_event(
    2501,
    'roll_out_moved',
    'info',
    'The rule started, advanced, completed or reverted a roll-out.',
)
ROLL_OUT_STOPPED = declare_event(
    2502,
    'roll_out_stopped',
    'warning',
    'A roll-out got too few answers and was stopped; an operator has to '
    'resume or revert it.',
)
