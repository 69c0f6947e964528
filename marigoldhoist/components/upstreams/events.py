"""Log events of the upstreams component."""

from marigoldhoist.core.events import declare_event

REPLICA_EJECTED = declare_event(
    1601,
    'replica_ejected',
    'warning',
    'A new connection to a replica failed; it is ejected for a limited time.',
)
REPLICA_READMITTED = declare_event(
    1602, 'replica_readmitted', 'info', 'An ejected replica answered again.'
)
REPLICA_LEAVING = declare_event(
    1603,
    'replica_leaving',
    'info',
    'A replica announced that it is leaving; it gets no new requests.',
)
CONNECTION_SILENT = declare_event(
    1604,
    'connection_silent',
    'warning',
    'A connection failed or stalled, but the replica answers on a new one.',
)
