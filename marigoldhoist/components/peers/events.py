"""Log events of the peers component."""

from marigoldhoist.core.events import declare_event

PEER_UP = declare_event(1401, 'peer_up', 'info', 'A link to a peer is open.')
PEER_DOWN = declare_event(
    1402, 'peer_down', 'warning', 'A link to a peer broke or went silent.'
)
PEER_REFUSED = declare_event(
    1403,
    'peer_refused',
    'warning',
    'A connection to the peer port failed authentication.',
)
PEER_LEAVING = declare_event(
    1405, 'peer_leaving', 'info', 'A peer announced that it is shutting down.'
)
HANDLER_FAILED = declare_event(
    1404,
    'handler_failed',
    'error',
    'The handler of a peer topic raised an exception.',
)
