"""Headers that daemons add to calls which they hand over, and to responses."""

from typing import Final

from marigoldhoist.components.gateway.messages import Header, MessageHead
from marigoldhoist.components.handover.models import Handover
from marigoldhoist.core.decoding import parse_integer

FROM_HOST: Final = b'x-handover-from'
SEND_COUNT: Final = b'x-handover-send-count'
MODEL: Final = b'x-handover-model'
REPLICA: Final = b'x-handover-replica'
HANDOVER_HEADERS: Final = frozenset((FROM_HOST, SEND_COUNT, MODEL, REPLICA))


def request_headers(handover: Handover) -> list[Header]:
    """Return the headers of a call that is handed over."""
    headers = [
        (FROM_HOST, handover.from_host.encode('latin-1')),
        (SEND_COUNT, str(handover.send_count).encode()),
    ]
    if handover.model:
        headers.append((MODEL, handover.model.encode('latin-1')))
    return headers


def response_headers(replica_host: str, send_count: int) -> list[Header]:
    """Return the headers of a response for the daemon that handed a call."""
    return [
        (REPLICA, replica_host.encode('latin-1')),
        (SEND_COUNT, str(send_count).encode()),
    ]


def parse_handover(head: MessageHead) -> Handover:
    """Return what another daemon tells about a call."""
    return Handover(head.value(FROM_HOST), send_count(head), head.value(MODEL))


def send_count(head: MessageHead) -> int:
    """Return the number of attempts, zero if the header is invalid."""
    return parse_integer(head.value(SEND_COUNT)) or 0


def replica_host(head: MessageHead) -> str:
    """Return the replica of a response, empty for a failure of the peer."""
    return head.value(REPLICA)


def without_handover(headers: list[Header]) -> list[Header]:
    """Return the headers without those that daemons add."""
    return [
        header
        for header in headers
        if header[0].lower() not in HANDOVER_HEADERS
    ]
