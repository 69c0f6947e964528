"""Decide by the head of a request whether its body is read."""

from typing import Final, Protocol

from marigoldhoist.components.gateway.messages import (
    CLOSE_HEADER,
    MessageHead,
    response_bytes,
)
from marigoldhoist.core.errors import ErrorCode, RequestFailure

NO_ROOM_MESSAGE: Final = 'no memory is left for the body'


class UploadPolicy(Protocol):
    """Admits uploads by their heads and renders refusals.

    The connection is closed after a refusal, as the body follows unread.
    """

    def admit(self, head: MessageHead) -> str | RequestFailure:
        """Return the workspace of an upload, or why it is refused.

        The name is empty for a caller without a workspace.
        """

    def no_room(
        self, head: MessageHead | None, after_s: float
    ) -> RequestFailure:
        """Return the failure of a request for which no memory is left.

        There may be room again after a time. Without a head, several requests
        came at once.
        """

    def refuse(self, head: MessageHead, failure: RequestFailure) -> bytes:
        """Return the serialized response to a refused upload."""


class TakeAllUploads:
    """Admits every upload."""

    def admit(self, head: MessageHead) -> str | RequestFailure:
        """Return no workspace."""
        return ''

    def no_room(
        self, head: MessageHead | None, after_s: float
    ) -> RequestFailure:
        """Return a retryable failure."""
        return no_room_failure(after_s)

    def refuse(self, head: MessageHead, failure: RequestFailure) -> bytes:
        """Return a response without a body."""
        return refusal_bytes(failure)


class TakeNoUploads(TakeAllUploads):
    """Refuses every upload; listeners for reports need no bodies."""

    def admit(self, head: MessageHead) -> str | RequestFailure:
        """Return a failure."""
        return RequestFailure(
            ErrorCode.BODY_TOO_LARGE, 'a body is not read here'
        )


TAKE_ALL_UPLOADS: Final[UploadPolicy] = TakeAllUploads()
TAKE_NO_UPLOADS: Final[UploadPolicy] = TakeNoUploads()


def no_room_failure(after_s: float) -> RequestFailure:
    """Return the failure of a request for which no memory is left."""
    return RequestFailure(
        ErrorCode.OVERLOADED, NO_ROOM_MESSAGE, retry_after_s=after_s
    )


def refusal_bytes(failure: RequestFailure) -> bytes:
    """Return a response without a body that closes the connection."""
    return response_bytes(failure.http_status, [CLOSE_HEADER])
