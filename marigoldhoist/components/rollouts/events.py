"""Log events of the rollouts component."""

from marigoldhoist.core.events import declare_event

ROLL_OUT_MOVED = declare_event(
    2501,
    'roll_out_moved',
    'info',
    'A roll-out went on, ended or was reverted by rule.',
)
ROLL_OUT_STOPPED = declare_event(
    2502,
    'roll_out_stopped',
    'warning',
    'A roll-out lacks answers and stopped; an operator resumes or reverts it.',
)
