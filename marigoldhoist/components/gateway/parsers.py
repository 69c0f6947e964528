"""Parsing of HTTP/1.1 messages."""

import collections
from typing import Final

import httptools

from marigoldhoist.components.gateway.messages import (
    NO_CONTENT_STATUSES,
    End,
    Item,
    MessageHead,
)
from marigoldhoist.core.status_lines import STATUS_LINE_START

FIRST_FINAL_STATUS: Final = 200
STATUSES: Final = range(100, 600)
# Received bytes of a response that contain neither a complete head nor a part
# of a body: an incomplete head, interim responses or trailers.
MAX_RESPONSE_OVERHEAD_BYTES: Final = 64 * 1024


class _Collector:
    """Collects the parser's callbacks as items in wire order."""

    def __init__(self) -> None:
        self.items: collections.deque[Item] = collections.deque()
        self.item_count = 0
        self.is_in_head = True
        self.is_in_message = False
        self._head = MessageHead([])

    def on_message_begin(self) -> None:
        """Start a new head."""
        self._head = MessageHead([])
        self.is_in_head = True
        self.is_in_message = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._head.target += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Append one header."""
        self._head.headers.append((name, content))

    def on_headers_complete(self) -> None:
        """Queue the complete head; the body follows."""
        self.is_in_head = False
        self._queue(self._head)

    def on_body(self, body: bytes) -> None:
        """Queue a part of the body."""
        self._queue(body)

    def on_message_complete(self) -> None:
        """Queue the end of the message."""
        self.is_in_message = False
        self._queue(End.OF_MESSAGE)

    def _queue(self, item: Item) -> None:
        self.item_count += 1
        self.items.append(item)


class RequestParser:
    """Strict request parser; parsed items are appended to `items`.

    Trailers are dropped: they are no headers, and nothing may follow a body
    that its head did not announce.
    """

    def __init__(self) -> None:
        self._collector = _RequestCollector()
        self._parser = httptools.HttpRequestParser(self._collector)
        self._collector.parser = self._parser
        self._overhead_bytes = 0
        # Memory of the parsed heads and bodies; who frees some takes it off.
        self.kept_bytes = 0
        self.items = self._collector.items

    @property
    def is_in_message(self) -> bool:
        """Return whether a request has begun that is not complete."""
        return self._collector.is_in_message

    @property
    def overhead_bytes(self) -> int:
        """Return the bytes received since the last part of a request.

        They belong to a head that is not complete, to trailers or to the
        framing of chunks.
        """
        return self._overhead_bytes

    def feed(self, received: bytes) -> None:
        """Parse received bytes; raise HttpParserError on an invalid request."""
        item_count = self._collector.item_count
        self._parser.feed_data(received)
        self._collector.queue_body_part()
        self.kept_bytes += self._collector.take_kept_bytes()
        if self._collector.item_count > item_count:
            self._overhead_bytes = 0
            return
        self._overhead_bytes += len(received)


class _RequestCollector(_Collector):
    """Adds the method and keep-alive flag to complete request heads.

    The parts of a body that were received together become one item, so that
    small chunks cost no more than their bytes.
    """

    parser: httptools.HttpRequestParser

    def __init__(self) -> None:
        super().__init__()
        self._body_parts: list[bytes] = []
        self._kept_bytes = 0

    def take_kept_bytes(self) -> int:
        """Return the memory of what was queued since the last call."""
        kept_bytes = self._kept_bytes
        self._kept_bytes = 0
        return kept_bytes

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Queue the rest of the body and the end of the message."""
        self.queue_body_part()
        super().on_message_complete()

    def queue_body_part(self) -> None:
        """Queue the part of the body that was received, if any."""
        if self._body_parts:
            part = b''.join(self._body_parts)
            self._kept_bytes += len(part)
            self._queue(part)
            self._body_parts.clear()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Append one header; drop a trailer."""
        if self.is_in_head:
            super().on_header(name, content)

    def on_headers_complete(self) -> None:
        """Complete the head and queue it."""
        self._head.method = self.parser.get_method().decode()
        self._head.is_keep_alive = self.parser.should_keep_alive()
        self._kept_bytes += self._head.memory_bytes
        super().on_headers_complete()


class MergedHeadError(httptools.HttpParserError):
    """A head contains the status line of another response."""


class ResponseParser:
    """Strict response parser; parsed items are appended to `items`.

    Responses whose head, interim responses or trailers are too large are
    invalid, as a faulty replica may send such bytes without end.

    A head that was cut off and the next response parse as one head, which has
    the status of the one and the id and body of the other. It is invalid, too.
    """

    def __init__(self) -> None:
        self._collector = _ResponseCollector()
        self._parser = httptools.HttpResponseParser(self._collector)
        self._collector.parser = self._parser
        self._overhead_bytes = 0
        self.items = self._collector.items

    @property
    def is_in_message(self) -> bool:
        """Return whether a response has begun that is not complete."""
        return self._collector.is_in_message

    def feed(self, received: bytes) -> None:
        """Parse received bytes; raise HttpParserError on invalid responses."""
        item_count = self._collector.item_count
        self._parser.feed_data(received)
        if self._collector.is_merged:
            raise MergedHeadError('a status line in a head')
        if self._collector.invalid_status is not None:
            raise httptools.HttpParserError(
                f'status {self._collector.invalid_status}'
            )
        if self._collector.item_count > item_count:
            self._overhead_bytes = 0
            return
        self._overhead_bytes += len(received)
        if self._overhead_bytes > MAX_RESPONSE_OVERHEAD_BYTES:
            raise httptools.HttpParserError(
                f'{self._overhead_bytes} bytes without a part of a response'
            )


class _ResponseCollector(_Collector):
    """Adds the status and framing to heads and drops interim responses."""

    parser: httptools.HttpResponseParser

    def __init__(self) -> None:
        super().__init__()
        self._is_interim = False
        self._reason_phrase = b''
        # Whether a head contained the status line of another response.
        self.is_merged = False
        # The status of a head whose status no response can have.
        self.invalid_status: int | None = None

    def on_message_begin(self) -> None:
        """Start a new head."""
        super().on_message_begin()
        self._reason_phrase = b''

    def on_status(self, phrase: bytes) -> None:
        """Append a part of the reason phrase."""
        self._reason_phrase += phrase

    def on_headers_complete(self) -> None:
        """Complete the head and queue it, unless it is interim (1xx)."""
        head = self._head
        self.is_merged = self.is_merged or _has_status_line(
            self._reason_phrase, *(content for _, content in head.headers)
        )
        head.status = self.parser.get_status_code()
        if head.status not in STATUSES:
            self.invalid_status = head.status
        self._is_interim = head.status < FIRST_FINAL_STATUS
        if self._is_interim:
            return
        head.is_keep_alive = self.parser.should_keep_alive()
        head.is_close_delimited = not _is_framed(head)
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Queue the end of the message, unless it is interim (1xx)."""
        self.is_in_message = False
        if not self._is_interim:
            super().on_message_complete()

    def _queue(self, item: Item) -> None:
        if not self.is_merged and self.invalid_status is None:
            super()._queue(item)


def _has_status_line(*parts: bytes) -> bool:
    """Return whether any of the parts contains a status line."""
    return any(STATUS_LINE_START.search(part) for part in parts)


def _is_framed(head: MessageHead) -> bool:
    return (
        bool(head.values(b'content-length'))
        or bool(head.values(b'transfer-encoding'))
        or head.status in NO_CONTENT_STATUSES
    )
