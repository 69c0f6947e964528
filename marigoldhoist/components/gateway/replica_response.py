"""The response of a replica, of which the body is still to be read."""

from collections.abc import AsyncIterator
from typing import Final

from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.gateway.const import MAX_RESPONSE_BODY_BYTES
from marigoldhoist.components.gateway.errors import (
    AttemptError,
    ConnectionClosedError,
    MalformedMessageError,
)
from marigoldhoist.components.gateway.messages import End, Item, MessageHead
from marigoldhoist.components.gateway.models import ResponseMetadata
from marigoldhoist.components.gateway.pool import (
    ReplicaConnection,
    ReplicaPool,
)
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.verdict import Verdict

HEAD: Final = 'HEAD'
SUCCESS_STATUSES: Final = range(200, 300)


class ReplicaResponse:
    """A replica's response whose head was read and whose body follows.

    `time_to_head_s` is the time from the send to the head, `body_wait_s` the
    time spent waiting for body data; neither includes the time spent writing
    to the caller. `is_from_peer` means that another daemon passed it on,
    `is_proven_refusal` that the request was refused and did not run.
    """

    def __init__(
        self,
        replica: Replica,
        connection: ReplicaConnection,
        head: MessageHead,
        metadata: ResponseMetadata,
        *,
        has_body: bool = True,
    ) -> None:
        self.replica = replica
        self.head = head
        self.metadata = metadata
        self.time_to_head_s: float = 0
        self.body_wait_s: float = 0
        self._connection = connection
        self._has_body = has_body
        self._is_complete = False
        self.is_from_peer = False
        self.is_proven_refusal = False

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return self.head.status in SUCCESS_STATUSES

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield parts of the body; raise AttemptError if it is truncated."""
        item = await self._next_item()
        while item is not End.OF_MESSAGE:
            if isinstance(item, bytes):
                yield item
            item = await self._next_item()

    async def _next_item(self) -> Item:
        """Return the next body part or the end of the message."""
        if not self._has_body:
            # The parser cannot know that a response to HEAD has no body, so
            # the connection is not reused.
            return End.OF_MESSAGE
        wait_started_s = SYSTEM_CLOCK.boottime_s()
        try:
            item = await self._connection.next_item()
        except ConnectionClosedError as error:
            if self.head.is_close_delimited and not error.was_reset:
                return End.OF_MESSAGE
            raise AttemptError(
                'answer cut', Verdict.MAY_HAVE_RUN, is_connection_lost=True
            ) from error
        except MalformedMessageError as error:
            raise AttemptError(
                'answer malformed', Verdict.MAY_HAVE_RUN
            ) from error
        self.body_wait_s += SYSTEM_CLOCK.boottime_s() - wait_started_s
        self._is_complete = item is End.OF_MESSAGE
        return item

    async def body(self, max_bytes: int = MAX_RESPONSE_BODY_BYTES) -> bytes:
        """Return the whole body.

        Raise AttemptError if it is truncated or larger than `max_bytes`.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > max_bytes:
                raise AttemptError(
                    f'answer of over {max_bytes} bytes',
                    Verdict.MAY_HAVE_RUN,
                    is_too_large=True,
                )
        return bytes(body)

    def release(self, pool: ReplicaPool) -> None:
        """Return the connection to the pool if reusable, else abort it."""
        if self._is_complete and self.head.is_keep_alive:
            pool.release(self.replica, self._connection)
        else:
            self._connection.abort()
