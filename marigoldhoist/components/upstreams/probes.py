"""Load polls and health probes of replicas."""

import msgspec
import urllib3
from result import Err, Ok, Result

from marigoldhoist.components.upstreams.const import (
    BYTES_PER_POLL,
    LOAD_PATH,
    MAX_POLL_BYTES_PER_S,
    POLL_INTERVAL_S,
    POLL_TIMEOUT_S,
)
from marigoldhoist.components.upstreams.models import (
    LoadReply,
    LoadReport,
    Replica,
)
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.decoding import decode_json
from marigoldhoist.core.http_client import new_pool

PROBE_HEADERS = {'Connection': 'close'}


def poll_interval_s(replica_count: int) -> float:
    """Return the seconds between polls of all replicas.

    The interval grows with the number of replicas so that the polls stay
    within MAX_POLL_BYTES_PER_S.
    """
    return max(
        POLL_INTERVAL_S, replica_count * BYTES_PER_POLL / MAX_POLL_BYTES_PER_S
    )


def read_load(
    pool: urllib3.PoolManager, replica: Replica
) -> Result[LoadReply, str]:
    """Poll a replica's load over a pooled connection and record it.

    Returns the name of the exception class if the request fails.
    """
    polled = _request_load(pool, replica, {})
    if isinstance(polled, Ok):
        record_load(replica, polled.ok_value, SYSTEM_CLOCK.monotonic_s())
    return polled


def record_load(replica: Replica, reply: LoadReply, now_s: float) -> None:
    """Store a load report with this daemon's own count at the same time."""
    counted_s = now_s - reply.age_ms / MS_PER_S
    replica.report = LoadReport(
        in_flight=reply.running + reply.waiting,
        slots=max(1, reply.slots),
        own_in_flight=replica.in_flight_at(counted_s),
        counted_s=counted_s,
    )


def answers_on_new_connection(replica: Replica) -> bool:
    """Return whether the replica answers a load request on a new connection."""
    with new_pool(max_hosts=1) as pool:
        return isinstance(_request_load(pool, replica, PROBE_HEADERS), Ok)


def _request_load(
    pool: urllib3.PoolManager, replica: Replica, headers: dict[str, str]
) -> Result[LoadReply, str]:
    try:
        reply = pool.request(
            'GET',
            replica.url + LOAD_PATH,
            headers=headers,
            timeout=POLL_TIMEOUT_S,
        )
    except urllib3.exceptions.HTTPError as error:
        return Err(type(error).__name__)
    return Ok(_decoded(reply.data))


def _decoded(body: bytes) -> LoadReply:
    """Decode a load report; a plain service without one counts as idle."""
    try:
        return decode_json(body, LoadReply)
    except msgspec.MsgspecError:
        return LoadReply()
