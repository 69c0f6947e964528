"""Log events of the upstreams component."""

from marigoldhoist.core.events import declare_event

REPLICA_EJECTED = declare_event(
    1601,
    'replica_ejected',
    'warning',
    'A replica failed on a fresh connection and gets no work for a while.',
)
REPLICA_READMITTED = declare_event(
    1602, 'replica_readmitted', 'info', 'An ejected replica answers again.'
)
REPLICA_LEAVING = declare_event(
    1603,
    'replica_leaving',
    'info',
    'A replica said itself that it is leaving; it gets no new work.',
)
CONNECTION_SILENT = declare_event(
    1604,
    'connection_silent',
    'warning',
    'A connection made no progress while the replica answers on a new one.',
)
