"""Read the head of the response to a request, past responses to others."""

from marigoldhoist.components.gateway.connection import HttpConnection
from marigoldhoist.components.gateway.const import MAX_SKIPPED_ITEMS
from marigoldhoist.components.gateway.errors import MalformedMessageError
from marigoldhoist.components.gateway.events import ANSWER_PASSED_OVER
from marigoldhoist.components.gateway.messages import MessageHead
from marigoldhoist.components.gateway.models import Dialect, ResponseMetadata
from marigoldhoist.core.events import emit


async def read_matching_head(
    connection: HttpConnection, request_id: str, dialect: Dialect
) -> tuple[MessageHead, ResponseMetadata]:
    """Return the first head that has the request's id or none.

    A server may send a second answer to an earlier request. Raise
    MalformedMessageError if there are only responses to other requests, and
    ConnectionClosedError if the connection ends.
    """
    skipped = 0
    while skipped < MAX_SKIPPED_ITEMS:
        item = await connection.next_item()
        skipped += 1
        if not isinstance(item, MessageHead):
            continue
        metadata = dialect.parse_response_metadata(item)
        if not metadata.request_id or metadata.request_id == request_id:
            return item, metadata
        emit(
            ANSWER_PASSED_OVER,
            request_id=request_id,
            came_for=metadata.request_id,
        )
    raise MalformedMessageError('responses to other requests only')
