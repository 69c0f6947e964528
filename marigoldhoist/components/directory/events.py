"""Log events of the directory component."""

from marigoldhoist.core.events import declare_event

REPLICA_FOUND = declare_event(
    3501, 'replica_found', 'info', 'A replica is listed as ready.'
)
REPLICA_LEAVING = declare_event(
    3502, 'replica_leaving', 'info', 'A replica drains; it gets no new work.'
)
REPLICA_GONE = declare_event(
    3503, 'replica_gone', 'info', 'A replica is no longer listed.'
)
REPLICA_LAPSED = declare_event(
    3504,
    'replica_lapsed',
    'warning',
    'An entry went while the store was away; it is used for a grace time.',
)
REPLICA_SUSPECTED = declare_event(
    3505,
    'replica_suspected',
    'warning',
    'A replica cannot be connected to and is avoided for a while.',
)
REPLICA_REPLACED = declare_event(
    3506,
    'replica_replaced',
    'warning',
    'The address belongs to another replica; this one is taken as gone.',
)
