"""Log events of the billing component."""

from marigoldhoist.core.events import declare_event

BILLS_LEFT = declare_event(
    1801,
    'bills_left',
    'error',
    'Neither the log nor a peer accepted all bills before a planned stop.',
)
