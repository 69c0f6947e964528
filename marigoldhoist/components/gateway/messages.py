"""Parsing and serialization of HTTP/1.1 messages."""

import collections
import dataclasses
import enum
from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

import httptools

from marigoldhoist.core.decoding import parse_integer
from marigoldhoist.core.status_lines import STATUS_LINE_START

CRLF: Final = b'\r\n'
LAST_CHUNK: Final = b'0\r\n\r\n'
# The colon, the space and the line end of a header.
HEADER_FRAMING_BYTES: Final = 4
# A tuple and two bytes objects, beside their content.
HEADER_OBJECT_BYTES: Final = 128
NO_CONTENT_STATUSES: Final = frozenset((204, 304))
FIRST_FINAL_STATUS: Final = 200
# Received bytes of a response that contain neither a complete head nor a part
# of a body: an incomplete head, interim responses or trailers.
MAX_RESPONSE_OVERHEAD_BYTES: Final = 64 * 1024

Header = tuple[bytes, bytes]

CLOSE_HEADER: Final[Header] = (b'Connection', b'close')


@dataclasses.dataclass(slots=True)
class MessageHead:
    """Start line and headers of a request or response.

    Requests have a method and target, responses a status. A close-delimited
    body has neither a content length nor a transfer encoding.
    """

    headers: list[Header]
    method: str = ''
    target: bytes = b''
    status: int = 0
    is_keep_alive: bool = True
    is_close_delimited: bool = False

    @property
    def size_bytes(self) -> int:
        """Return the size of the target and the headers as sent, in bytes."""
        return len(self.target) + sum(
            len(name) + len(content) + HEADER_FRAMING_BYTES
            for name, content in self.headers
        )

    @property
    def memory_bytes(self) -> int:
        """Return the memory that the target and the headers take, in bytes."""
        return self.size_bytes + HEADER_OBJECT_BYTES * len(self.headers)

    @property
    def content_length(self) -> int:
        """Return the length of the body that was announced, zero if none."""
        return parse_integer(self.value(b'content-length')) or 0

    def values(self, name: bytes) -> list[bytes]:
        """Return every value of a header by its lower-case name."""
        return [content for key, content in self.headers if key.lower() == name]

    def value(self, name: bytes) -> str:
        """Return the first value of a header, empty if it is absent."""
        values = self.values(name)
        return values[0].decode('latin-1') if values else ''


class End(enum.Enum):
    """Marks the end of a message among the parsed items."""

    OF_MESSAGE = 'of_message'


Item = MessageHead | bytes | End


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
        if not self.is_merged:
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


def request_bytes(
    method: str, target: bytes, headers: Iterable[Header], body: bytes = b''
) -> bytes:
    """Return a serialized request with a content length if needed."""
    return request_head_bytes(method, target, headers, len(body)) + body


def request_head_bytes(
    method: str, target: bytes, headers: Iterable[Header], body_bytes: int
) -> bytes:
    """Return the serialized head of a request with a body of the given size."""
    parts = [method.encode(), b' ', target, b' HTTP/1.1', CRLF]
    parts += _header_parts(headers)
    if body_bytes or method not in {'GET', 'HEAD', 'DELETE', 'OPTIONS'}:
        parts += (b'Content-Length: ', str(body_bytes).encode(), CRLF)
    parts.append(CRLF)
    return b''.join(parts)


def response_bytes(
    status: int,
    headers: Iterable[Header],
    body: bytes = b'',
    declared_length: str = '',
) -> bytes:
    """Return a serialized response with its content length.

    A response to HEAD declares the length that the body would have.
    """
    length = declared_length or str(len(body))
    parts = [*_status_parts(status), *_header_parts(headers)]
    if status not in NO_CONTENT_STATUSES:
        parts += (b'Content-Length: ', length.encode(), CRLF)
    parts += (CRLF, body)
    return b''.join(parts)


def chunked_head_bytes(status: int, headers: Iterable[Header]) -> bytes:
    """Return the serialized head of a chunked response."""
    parts = [*_status_parts(status), *_header_parts(headers)]
    parts += (b'Transfer-Encoding: chunked', CRLF, CRLF)
    return b''.join(parts)


def chunk_bytes(body: bytes) -> bytes:
    """Return one chunk; the body must not be empty."""
    return b'%x\r\n%b\r\n' % (len(body), body)


def _header_parts(headers: Iterable[Header]) -> list[bytes]:
    return [b'%b: %b\r\n' % header for header in headers]


def _status_parts(status: int) -> tuple[bytes, ...]:
    try:
        phrase = HTTPStatus(status).phrase.encode()
    except ValueError:
        phrase = b'Status'
    return (b'HTTP/1.1 ', str(status).encode(), b' ', phrase, CRLF)
