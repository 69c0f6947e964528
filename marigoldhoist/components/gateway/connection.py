"""One HTTP/1.1 connection, read item by item and written with back-pressure."""

import asyncio
from typing import Final

import httptools

from marigoldhoist.components.gateway.errors import (
    ConnectionClosedError,
    MalformedMessageError,
)
from marigoldhoist.components.gateway.messages import (
    Item,
    RequestParser,
    ResponseParser,
)

# Received and not yet taken; above it the peer is made to wait.
MAX_QUEUED_BYTES: Final = 256 * 1024


class HttpConnection(asyncio.Protocol):
    """Reads messages of one direction and writes those of the other."""

    def __init__(self, parser: RequestParser | ResponseParser) -> None:
        self._parser = parser
        self._transport: asyncio.Transport | None = None
        self._arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._queued_bytes = 0
        self._is_malformed = False
        self.is_closed = False
        self.was_reset = False

    @property
    def transport(self) -> asyncio.Transport:
        """Return the transport; the connection must have been made."""
        if self._transport is None:
            raise ConnectionClosedError('the connection was never made')
        return self._transport

    @property
    def has_unread_input(self) -> bool:
        """Tell whether something arrived that was not taken."""
        return bool(self._parser.items) or self._is_malformed

    @property
    def is_quiet(self) -> bool:
        """Tell whether the connection is open and nothing is under way."""
        is_sent = self.transport.get_write_buffer_size() == 0
        return is_sent and not self.has_unread_input and not self.is_closed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what arrived and wake the reader."""
        if self._is_malformed:
            return
        try:
            self._parser.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_malformed = True
        self._queued_bytes += len(data)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.transport.pause_reading()
        self._arrived.set()

    def eof_received(self) -> bool:
        """Take the peer's end as the end of the connection."""
        self.is_closed = True
        self._arrived.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake whoever reads or writes."""
        self.is_closed = True
        self.was_reset = exc is not None
        self._arrived.set()
        self._writable.set()

    def pause_writing(self) -> None:
        """Make the writer wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let the writer go on."""
        self._writable.set()

    async def next_item(self) -> Item:
        """Return what comes next on the connection.

        ConnectionClosedError where it ended; MalformedMessageError where
        something else than a message came.
        """
        while not self._parser.items:
            if self._is_malformed:
                raise MalformedMessageError('bytes that are no message')
            if self.is_closed:
                raise ConnectionClosedError(
                    'the connection ended', self.was_reset
                )
            self._queued_bytes = 0
            self.transport.resume_reading()
            self._arrived.clear()
            await self._arrived.wait()
        return self._parser.items.popleft()

    async def write(self, written: bytes) -> None:
        """Write bytes once the peer has room for them."""
        if self.is_closed:
            raise ConnectionClosedError('the connection ended', self.was_reset)
        self.transport.write(written)
        if not self._writable.is_set():
            await self._writable.wait()

    def close(self) -> None:
        """Close after what was written is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once; the peer sees that the message is not complete."""
        if self._transport is not None:
            self._transport.abort()
