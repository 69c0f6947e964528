"""Log events of the handover component."""

from marigoldhoist.core.events import declare_event

PEER_AVOIDED = declare_event(
    4100,
    'handover_peer_avoided',
    'info',
    'A daemon could not take a call to a service; it gets no more of them for a'
    ' time.',
)
