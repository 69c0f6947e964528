"""Log events of the table component."""

from marigoldhoist.core.events import declare_event

TABLE_CHANGED = declare_event(
    1201, 'table_changed', 'info', 'A change to the table was applied.'
)
CHANGE_REJECTED = declare_event(
    1202,
    'change_rejected',
    'warning',
    'A change to the table was rejected.',
)
