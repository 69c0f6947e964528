"""Log events of the directory component."""

from marigoldhoist.core.events import declare_event

REPLICA_FOUND = declare_event(
    3501, 'replica_found', 'info', 'A replica is listed as ready.'
)
REPLICA_LEAVING = declare_event(
    3502,
    'replica_leaving',
    'info',
    'A replica drains and gets no new requests.',
)
REPLICA_GONE = declare_event(
    3503, 'replica_gone', 'info', 'A replica is no longer listed.'
)
REPLICA_LAPSED = declare_event(
    3504,
    'replica_lapsed',
    'warning',
    'An entry expired around a store outage; it stays in use for a while.',
)
REPLICA_SUSPECTED = declare_event(
    3505,
    'replica_suspected',
    'warning',
    'Connections to a replica fail; it is avoided for a while.',
)
REPLICA_REPLACED = declare_event(
    3506,
    'replica_replaced',
    'warning',
    'Another replica answers at the address; this one is removed.',
)
RESTORED_ENTRY_PASSED_OVER = declare_event(
    3507,
    'restored_entry_passed_over',
    'info',
    'An entry of a store that was restored from an older copy is older than '
    'what is known of the replica; it is ignored.',
)
REPLICA_LIMITED = declare_event(
    3508,
    'replica_limited',
    'info',
    'A replica named another limit of the requests per second that it takes '
    'from all daemons together, or none any more.',
)
REPLICA_ANNOUNCED_LEAVING = declare_event(
    3509,
    'replica_announced_leaving',
    'info',
    'A replica announced in an answer that it leaves; it gets no new requests.',
)
REPLICA_CLOSED = declare_event(
    3510,
    'replica_closed',
    'info',
    'A replica turned a request away and wants none of this daemon for a time.',
)
REPLICA_REACHABLE = declare_event(
    3511,
    'replica_reachable',
    'info',
    'A connection to a replica succeeded after one had failed.',
)
REPLICA_BRITTLE = declare_event(
    3512,
    'replica_brittle',
    'warning',
    'A replica said that it falls over if it turns more than a number of'
    ' requests away in a second, or says so no more.',
)
BRITTLE_REPLICA_REJECTED = declare_event(
    3513,
    'brittle_replica_rejected',
    'warning',
    'A brittle replica turned a request away; it gets none for a time.',
)
