"""HTTP/1.1 connection with back-pressure in both directions."""

import asyncio
from typing import Final

import httptools

from marigoldhoist.components.gateway.errors import (
    ConnectionClosedError,
    MalformedMessageError,
)
from marigoldhoist.components.gateway.messages import Item
from marigoldhoist.components.gateway.parsers import (
    MergedHeadError,
    RequestParser,
    ResponseParser,
)

MAX_QUEUED_BYTES: Final = 256 * 1024
# Why received input is malformed.
NO_MESSAGE: Final = 'bytes that are no message'
MERGED_HEADS: Final = 'a head that continues as another one'


class HttpConnection(asyncio.Protocol):
    """Parses received messages into items and writes serialized ones.

    Reading is paused above `max_queued_bytes` that were not consumed yet.
    """

    max_queued_bytes = MAX_QUEUED_BYTES

    def __init__(self, parser: RequestParser | ResponseParser) -> None:
        self._parser = parser
        self._transport: asyncio.Transport | None = None
        self._input_event = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._queued_bytes = 0
        # Empty while the input is valid.
        self._malformed_reason = ''
        self.is_closed = False
        self.was_reset = False

    @property
    def transport(self) -> asyncio.Transport:
        """Return the transport.

        Raise ConnectionClosedError if the connection was never made.
        """
        if self._transport is None:
            raise ConnectionClosedError('the connection was never made')
        return self._transport

    @property
    def has_unread_input(self) -> bool:
        """Return whether received input was not consumed yet.

        A part of a message counts, although there is no item for it.
        """
        return (
            bool(self._parser.items)
            or self._parser.is_in_message
            or bool(self._malformed_reason)
        )

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection is open with empty buffers."""
        is_flushed = self.transport.get_write_buffer_size() == 0
        is_open = not self.is_closed and not self.transport.is_closing()
        return is_open and is_flushed and not self.has_unread_input

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and wake the reader."""
        if self._malformed_reason:
            return
        try:
            self._parser.feed(data)
        except MergedHeadError:
            self._malformed_reason = MERGED_HEADS
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._malformed_reason = NO_MESSAGE
        self._queued_bytes += len(data)
        if self._queued_bytes > self.max_queued_bytes:
            self.transport.pause_reading()
        self._input_event.set()

    def eof_received(self) -> bool:
        """Treat a half-close by the peer as the end of the connection."""
        self.is_closed = True
        self._input_event.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the waiting reader and writer."""
        self.is_closed = True
        self.was_reset = self.was_reset or exc is not None
        self._input_event.set()
        self._writable.set()

    def pause_writing(self) -> None:
        """Block writers until the write buffer drains."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._writable.set()

    async def next_item(self) -> Item:
        """Return the next head, body part or end of message.

        Raise ConnectionClosedError if the connection ended, and
        MalformedMessageError if the input is not valid HTTP.
        """
        while not self._parser.items:
            if self._malformed_reason:
                raise MalformedMessageError(self._malformed_reason)
            if self.is_closed:
                raise ConnectionClosedError(
                    'the connection ended', self.was_reset
                )
            self._queued_bytes = 0
            self.transport.resume_reading()
            self._input_event.clear()
            await self._input_event.wait()
        return self._parser.items.popleft()

    async def write(self, content: bytes) -> None:
        """Write bytes and wait while the write buffer is full."""
        self.write_nowait(content)
        await self.drain()

    def write_nowait(self, content: bytes) -> None:
        """Hand bytes to the write buffer; the caller has to drain it."""
        if self.is_closed:
            raise ConnectionClosedError('the connection ended', self.was_reset)
        self.transport.write(content)

    async def drain(self) -> None:
        """Wait while the write buffer is full."""
        await self._writable.wait()

    def close(self) -> None:
        """Close after the write buffer is flushed."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once, leaving the message visibly incomplete."""
        if self._transport is not None:
            self._transport.abort()
