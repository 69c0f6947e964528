"""Log events of the billing component."""

from marigoldhoist.core.events import declare_event

BILLS_LEFT = declare_event(
    1801,
    'bills_left',
    'error',
    'A planned stop found neither the log nor a peer for its last bills.',
)
