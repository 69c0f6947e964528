"""Receive the requests of one connection within bounds."""

import asyncio
import contextlib
from typing import Final, Protocol

from marigoldhoist.components.configuration.models import CallerLimits
from marigoldhoist.components.gateway.connection import HttpConnection
from marigoldhoist.components.gateway.connection_input import ConnectionInput
from marigoldhoist.components.gateway.errors import (
    MalformedMessageError,
    RefusedRequestError,
)
from marigoldhoist.components.gateway.messages import (
    Item,
    MessageHead,
)
from marigoldhoist.components.gateway.parsers import RequestParser
from marigoldhoist.components.gateway.upload_policy import (
    TAKE_ALL_UPLOADS,
    UploadPolicy,
    refusal_bytes,
)
from marigoldhoist.components.intake.room import InputRoom
from marigoldhoist.core.errors import ErrorCode, RequestFailure

# How long and how much is read after a refusal. Closing a connection with
# unread input resets it, so that the caller may lose the refusal.
LINGER_TIMEOUT_S: Final = 1.0
LINGER_BYTES: Final = 8 * 1024 * 1024
# Why input is not parsed any more.
REJECTED: Final = 'the request was refused'
# All connections share one buffer, as received bytes are parsed at once.
RECEIVE_BUFFER: Final = bytearray(16 * 1024)


class InputLimits(Protocol):
    """Holds what bounds the input of connections."""

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests."""

    @property
    def room(self) -> InputRoom:
        """Return the memory that the input of all callers shares."""


class IncomingConnection(HttpConnection, asyncio.BufferedProtocol):
    """Parses requests as long as they keep to the limits and find room.

    Others are rejected: what was parsed of them is dropped at once, whoever
    reads the next item gets a RefusedRequestError.
    """

    max_queued_bytes = len(RECEIVE_BUFFER)

    def __init__(
        self,
        input_limits: InputLimits,
        uploads: UploadPolicy = TAKE_ALL_UPLOADS,
    ) -> None:
        self.requests = RequestParser()
        super().__init__(self.requests)
        self.uploads = uploads
        self.input = ConnectionInput(
            input_limits.room, self.requests, self._evict
        )
        # The head of the request whose body is awaited.
        self.upload_head: MessageHead | None = None
        self._input_limits = input_limits
        self._rejection: RefusedRequestError | None = None
        # Input that is discarded after a refusal, None while it is parsed.
        self._discarded_bytes: int | None = None

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests."""
        return self._input_limits.limits

    async def next_request_item(self) -> Item:
        """Return the next item; raise RefusedRequestError for bad input."""
        try:
            return await self.next_item()
        except MalformedMessageError as error:
            if self._rejection is not None:
                raise self._rejection from error
            raise malformed(str(error)) from error

    def get_buffer(self, _sizehint: int) -> bytearray:
        """Return the buffer to receive into."""
        return RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes from the buffer."""
        self.data_received(bytes(memoryview(RECEIVE_BUFFER)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; stop where they take more than allowed.

        Trailers and the framing of chunks may not be larger than a head.
        """
        if self._discarded_bytes is not None:
            self._discard(data)
            return
        super().data_received(data)
        if self.requests.overhead_bytes > self.limits.max_head_bytes:
            self._reject(too_large('head', ErrorCode.HEAD_TOO_LARGE))
        elif not self.input.try_account():
            self._reject(self.no_room(self.upload_head))

    def _evict(self) -> None:
        """Refuse a request whose room is needed for others."""
        failure = RequestFailure(
            ErrorCode.TOO_SLOW, 'the body stalled while others needed its room'
        )
        self._reject(self._refused(self.upload_head, failure))

    def _reject(self, rejection: RefusedRequestError) -> None:
        """Free the input and refuse the request that is read next."""
        self._rejection = self._rejection or rejection
        self._malformed_reason = REJECTED
        self.input.drop()
        self._input_event.set()

    def no_room(self, head: MessageHead | None) -> RefusedRequestError:
        """Return the refusal of a request for which no memory is left."""
        failure = self.uploads.no_room(head, self.input.retry_after_s())
        return self._refused(head, failure)

    def _refused(
        self, head: MessageHead | None, failure: RequestFailure
    ) -> RefusedRequestError:
        """Return the refusal of a request, rendered if its head is known."""
        response = self.uploads.refuse(head, failure) if head else b''
        return RefusedRequestError(failure, response)

    def _discard(self, received: bytes) -> None:
        """Drop input after a refusal; abort the connection if it goes on."""
        self._discarded_bytes = (self._discarded_bytes or 0) + len(received)
        if self._discarded_bytes > LINGER_BYTES:
            self.abort()

    async def refuse(self, error: RefusedRequestError) -> None:
        """Write a refusal and read on until the caller has closed."""
        if self.is_closed:
            return
        self._discarded_bytes = 0
        self.input.drop()
        await self.write(error.response or refusal_bytes(error.failure))
        self.transport.write_eof()
        self.transport.resume_reading()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                await self._wait_until_closed()
        self.close()

    async def _wait_until_closed(self) -> None:
        while not self.is_closed:
            self._input_event.clear()
            await self._input_event.wait()


def malformed(message: str) -> RefusedRequestError:
    """Return the refusal of input that is no valid request."""
    return RefusedRequestError(RequestFailure(ErrorCode.BAD_REQUEST, message))


def too_large(part: str, code: ErrorCode) -> RefusedRequestError:
    """Return the refusal of a part of a request over its limit."""
    return RefusedRequestError(
        RequestFailure(code, f'the {part} is larger than allowed')
    )
