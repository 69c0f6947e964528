"""Server side of a caller's HTTP connection."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from marigoldhoist.components.gateway.const import IDLE_TIMEOUT_FACTOR
from marigoldhoist.components.gateway.errors import (
    ConnectionClosedError,
    RefusedRequestError,
)
from marigoldhoist.components.gateway.events import (
    CALL_HANDLER_FAILED,
    CALLER_MALFORMED,
)
from marigoldhoist.components.gateway.incoming import (
    IncomingConnection,
    InputLimits,
    malformed,
    too_large,
)
from marigoldhoist.components.gateway.messages import End, MessageHead
from marigoldhoist.components.gateway.upload_policy import (
    TAKE_ALL_UPLOADS,
    UploadPolicy,
)
from marigoldhoist.core.body import Body
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.events import emit

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# A body may take longer than the idle timeout at this rate. Without a rate, a
# caller that sends a byte now and then would hold its connection forever.
MIN_BODY_BYTES_PER_S: Final = 16 * 1024

# Serves one request; returns whether the connection can be reused.
RequestHandler = Callable[
    ['CallerConnection', MessageHead, Body], Awaitable[bool]
]


class ConnectionRegistry(InputLimits, Protocol):
    """Tracks the open connections and holds the limits on requests."""

    def add(self, connection: 'CallerConnection') -> None:
        """Add a new connection."""

    def remove(self, connection: 'CallerConnection') -> None:
        """Remove a closed connection."""


class CallerConnection(IncomingConnection):
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
        super().__init__(registry, uploads)
        self._registry = registry
        self._handler = handler
        self._task: asyncio.Task[None] | None = None
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
            if not error.response:
                emit(CALLER_MALFORMED, reason=error.failure.message)
            with contextlib.suppress(ConnectionClosedError):
                await self.refuse(error)
        except Exception as error:
            emit(CALL_HANDLER_FAILED, error=repr(error))
            self.abort()
        finally:
            self.input.drop()
            self._registry.remove(self)

    async def _serve_requests(self) -> None:
        is_open = True
        while is_open:
            is_open = await self._serve_request(await self._next_head())
            if self.is_closed:
                return
        self.close()

    async def _serve_request(self, head: MessageHead) -> bool:
        """Serve one request; return whether another one may follow."""
        self.is_serving = True
        self.input.begin(head.memory_bytes)
        try:
            await self._read_body(head)
            return await self._handler(self, head, self.input.body)
        finally:
            self.input.end()
            self.is_serving = False

    async def _next_head(self) -> MessageHead:
        limits = self.limits
        try:
            async with asyncio.timeout(
                limits.idle_timeout_s * IDLE_TIMEOUT_FACTOR
            ):
                item = await self.next_request_item()
        except TimeoutError as error:
            raise ConnectionClosedError('idle for too long') from error
        if not isinstance(item, MessageHead):
            raise malformed('a body without a head')
        if item.size_bytes > limits.max_head_bytes:
            raise too_large('head', ErrorCode.HEAD_TOO_LARGE)
        return item

    async def _read_body(self, head: MessageHead) -> None:
        if self.requests.is_in_message:
            self._require_upload_allowed(head)
            if head.value(b'expect').lower() == '100-continue':
                await self.write(CONTINUE)
        self.upload_head = head
        try:
            await self._read_whole_body()
        except TimeoutError as error:
            raise RefusedRequestError(
                RequestFailure(ErrorCode.TOO_SLOW, 'the body came too slowly')
            ) from error
        self.upload_head = None
        self.input.end_body()

    def _require_upload_allowed(self, head: MessageHead) -> None:
        """Raise RefusedRequestError if the head is enough to refuse."""
        limits = self.limits
        if head.content_length > limits.max_body_bytes:
            raise too_large('body', ErrorCode.BODY_TOO_LARGE)
        admitted = self.uploads.admit(head)
        if isinstance(admitted, RequestFailure):
            raise RefusedRequestError(
                admitted, self.uploads.refuse(head, admitted)
            )
        if not self.input.try_announce(admitted, head.content_length, limits):
            raise self.no_room(head)

    async def _read_whole_body(self) -> None:
        """Read the body; raise TimeoutError if it comes too slowly."""
        body = self.input.body
        limits = self.limits
        loop = asyncio.get_running_loop()
        pace = self.input.begin_body(MIN_BODY_BYTES_PER_S)
        async with asyncio.timeout(limits.idle_timeout_s) as timeout:
            item = await self.next_request_item()
            while item is not End.OF_MESSAGE:
                if not isinstance(item, bytes):
                    raise malformed('a head within a body')
                body.append(item)
                if len(body) > limits.max_body_bytes:
                    raise too_large('body', ErrorCode.BODY_TOO_LARGE)
                pace.note(len(item), loop.time())
                due_s = pace.due_s(limits.idle_timeout_s)
                timeout.reschedule(due_s)
                item = await self.next_request_item()
