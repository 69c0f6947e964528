"""Ask replicas for their load, and whether they are reachable at all."""

import msgspec
import urllib3
from result import Err, Ok, Result

from marigoldhoist.components.upstreams.const import (
    LOAD_PATH,
    POLL_BYTES,
    POLL_BYTES_PER_S,
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

PROBE_HEADERS = {'Connection': 'close'}


def poll_interval_s(replica_count: int) -> float:
    """Return the pause between polls that keeps them within their budget."""
    return max(POLL_INTERVAL_S, replica_count * POLL_BYTES / POLL_BYTES_PER_S)


def read_load(
    pool: urllib3.PoolManager, replica: Replica
) -> Result[LoadReply, str]:
    """Ask for the load on a connection kept open, and note it."""
    asked = _ask(pool, replica, {})
    if isinstance(asked, Ok):
        note_load(replica, asked.ok_value, SYSTEM_CLOCK.monotonic_s())
    return asked


def note_load(replica: Replica, reply: LoadReply, now_s: float) -> None:
    """Keep a report with this daemon's count at the time it was taken."""
    counted_s = now_s - reply.age_ms / MS_PER_S
    replica.report = LoadReport(
        in_flight=reply.running + reply.waiting,
        slots=max(1, reply.slots),
        own_in_flight=replica.in_flight_at(counted_s),
        counted_s=counted_s,
    )


def answers_afresh(replica: Replica) -> bool:
    """Tell whether the replica answers on a connection made for this."""
    with urllib3.PoolManager(num_pools=1, retries=False) as pool:
        return isinstance(_ask(pool, replica, PROBE_HEADERS), Ok)


def _ask(
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
    """Decode a report; a plain service that has none counts as idle."""
    try:
        return msgspec.json.decode(body, type=LoadReply)
    except msgspec.MsgspecError:
        return LoadReply()
