"""Log events of the mirrors component."""

from marigoldhoist.core.events import declare_event

PEER_FOUND = declare_event(
    3601,
    'gateway_peer_found',
    'info',
    'Another daemon was discovered, or its address changed.',
)
PEER_FORGOTTEN = declare_event(
    3602,
    'gateway_peer_forgotten',
    'info',
    'A daemon was removed, as no daemon has heard from it for a while.',
)
PEER_FAILED = declare_event(
    3603,
    'gateway_peer_failed',
    'warning',
    'A call to another daemon failed; it is avoided for a while.',
)
READER_CHANGED = declare_event(
    3604,
    'reader_changed',
    'info',
    'This daemon became a reader of the store for its failure domain, or '
    'stopped being one.',
)
READER_RELAYS = declare_event(
    3605,
    'reader_relays',
    'info',
    'The reader of the failure domain relays data from another daemon instead '
    'of reading the store; it is avoided for a while.',
)
