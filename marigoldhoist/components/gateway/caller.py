"""Server side of a caller's HTTP connection."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from marigoldhoist.components.configuration.models import CallerLimits
from marigoldhoist.components.gateway.connection import (
    NO_MESSAGE,
    HttpConnection,
)
from marigoldhoist.components.gateway.const import IDLE_TIMEOUT_FACTOR
from marigoldhoist.components.gateway.errors import (
    ConnectionClosedError,
    MalformedMessageError,
)
from marigoldhoist.components.gateway.events import (
    CALL_HANDLER_FAILED,
    CALLER_MALFORMED,
)
from marigoldhoist.components.gateway.messages import (
    End,
    Item,
    MessageHead,
    RequestParser,
)
from marigoldhoist.components.gateway.upload_policy import (
    TAKE_ALL_UPLOADS,
    UploadPolicy,
    refusal_bytes,
)
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.events import emit

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# A body may take longer than the idle timeout at this rate. Without a rate, a
# caller that sends a byte now and then would hold its connection forever.
MIN_BODY_BYTES_PER_S: Final = 16 * 1024
# How long and how much is read after a refusal. Closing a connection with
# unread input resets it, so that the caller may lose the refusal.
LINGER_TIMEOUT_S: Final = 1.0
LINGER_BYTES: Final = 8 * 1024 * 1024

# Serves one request; returns whether the connection can be reused.
RequestHandler = Callable[
    ['CallerConnection', MessageHead, bytes], Awaitable[bool]
]


class ConnectionRegistry(Protocol):
    """Tracks the open connections and holds the limits on requests."""

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests."""

    def add(self, connection: 'CallerConnection') -> None:
        """Add a new connection."""

    def remove(self, connection: 'CallerConnection') -> None:
        """Remove a closed connection."""


class CallerConnection(HttpConnection):
    """Serves a caller's requests one after the other.

    The serving task is cancelled as soon as the caller disconnects, which
    aborts the connections to replicas and so the work for this caller.
    """

    def __init__(
        self,
        registry: ConnectionRegistry,
        handler: RequestHandler,
        uploads: UploadPolicy = TAKE_ALL_UPLOADS,
    ) -> None:
        self._requests = RequestParser()
        super().__init__(self._requests)
        self._registry = registry
        self._handler = handler
        self._uploads = uploads
        # Input that is discarded after a refusal, None while it is parsed.
        self._discarded_bytes: int | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_head_too_large = False
        self.is_serving = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves requests."""
        super().connection_made(transport)
        self._registry.add(self)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def eof_received(self) -> bool:
        """Cancel the request of a caller that closed its side."""
        super().eof_received()
        self._cancel_unless_idle()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a caller that disconnected."""
        super().connection_lost(exc)
        self._cancel_unless_idle()

    def _cancel_unless_idle(self) -> None:
        if self._task is not None and self.is_serving:
            self._task.cancel()

    async def _run(self) -> None:
        try:
            await self._serve_requests()
        except ConnectionClosedError:
            self.abort()
        except RefusedRequestError as error:
            emit(CALLER_MALFORMED, reason=error.failure.message)
            await self._refuse(error)
        except Exception as error:
            emit(CALL_HANDLER_FAILED, error=repr(error))
            self.abort()
        finally:
            self._registry.remove(self)

    async def _serve_requests(self) -> None:
        is_open = True
        while is_open:
            head = await self._next_head()
            self.is_serving = True
            try:
                body = await self._body(head)
                is_open = await self._handler(self, head, body)
            finally:
                self.is_serving = False
            if self.is_closed:
                return
        self.close()

    async def _next_head(self) -> MessageHead:
        limits = self._registry.limits
        try:
            async with asyncio.timeout(
                limits.idle_timeout_s * IDLE_TIMEOUT_FACTOR
            ):
                item = await self._next()
        except TimeoutError as error:
            raise ConnectionClosedError('idle for too long') from error
        if not isinstance(item, MessageHead):
            raise _malformed('a body without a head')
        if item.size_bytes > limits.max_head_bytes:
            raise _too_large('head', ErrorCode.HEAD_TOO_LARGE)
        return item

    async def _body(self, head: MessageHead) -> bytes:
        if self._requests.is_in_message:
            self._require_upload_allowed(head)
            if head.value(b'expect').lower() == '100-continue':
                await self.write(CONTINUE)
        try:
            return await self._whole_body()
        except TimeoutError as error:
            raise RefusedRequestError(
                RequestFailure(ErrorCode.TOO_SLOW, 'the body came too slowly')
            ) from error

    def _require_upload_allowed(self, head: MessageHead) -> None:
        """Raise RefusedRequestError if the head is enough to refuse."""
        if head.content_length > self._registry.limits.max_body_bytes:
            raise _too_large('body', ErrorCode.BODY_TOO_LARGE)
        admitted = self._uploads.admit(head)
        if isinstance(admitted, RequestFailure):
            raise RefusedRequestError(
                admitted, self._uploads.refusal(head, admitted)
            )

    async def _whole_body(self) -> bytes:
        """Return the body; raise TimeoutError if it comes too slowly."""
        body = bytearray()
        limits = self._registry.limits
        async with asyncio.timeout(limits.idle_timeout_s) as timeout:
            deadline_s = timeout.when() or 0
            item = await self._next()
            while item is not End.OF_MESSAGE:
                if not isinstance(item, bytes):
                    raise _malformed('a head within a body')
                body += item
                if len(body) > limits.max_body_bytes:
                    raise _too_large('body', ErrorCode.BODY_TOO_LARGE)
                allowed_s = len(body) / MIN_BODY_BYTES_PER_S
                timeout.reschedule(deadline_s + allowed_s)
                item = await self._next()
        return bytes(body)

    async def _next(self) -> Item:
        try:
            return await self.next_item()
        except MalformedMessageError as error:
            if self._is_head_too_large:
                raise _too_large('head', ErrorCode.HEAD_TOO_LARGE) from error
            raise _malformed(str(error)) from error

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; stop at a head that is larger than allowed.

        Trailers and the framing of chunks may not be larger either.
        """
        if self._discarded_bytes is not None:
            self._discard(data)
            return
        super().data_received(data)
        if self._requests.overhead_bytes > self._registry.limits.max_head_bytes:
            self._is_head_too_large = True
            self._malformed_reason = NO_MESSAGE

    def _discard(self, received: bytes) -> None:
        """Drop input after a refusal; abort the connection if it goes on."""
        self._discarded_bytes = (self._discarded_bytes or 0) + len(received)
        if self._discarded_bytes > LINGER_BYTES:
            self.abort()

    async def _refuse(self, error: 'RefusedRequestError') -> None:
        """Write a refusal and read on until the caller has closed."""
        self._discarded_bytes = 0
        self._requests.items.clear()
        await self.write(error.response)
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


class RefusedRequestError(Exception):
    """A request was refused before it was read completely."""

    def __init__(self, failure: RequestFailure, response: bytes = b'') -> None:
        super().__init__(failure.message)
        self.failure = failure
        self.response = response or refusal_bytes(failure)


def _malformed(message: str) -> RefusedRequestError:
    return RefusedRequestError(RequestFailure(ErrorCode.BAD_REQUEST, message))


def _too_large(part: str, code: ErrorCode) -> RefusedRequestError:
    return RefusedRequestError(
        RequestFailure(code, f'the {part} is larger than allowed')
    )
