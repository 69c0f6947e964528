"""HTTP/1.1 messages: heads, their parsing, and their bytes on the wire."""

import collections
import dataclasses
import enum
from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

import httptools

CRLF: Final = b'\r\n'
LAST_CHUNK: Final = b'0\r\n\r\n'
NO_CONTENT_STATUSES: Final = frozenset((204, 304))
FIRST_FINAL_STATUS: Final = 200

Header = tuple[bytes, bytes]


@dataclasses.dataclass(slots=True)
class MessageHead:
    """A start line and headers; a request has a method, an answer a status.

    A body that ends with its connection has neither length nor chunks.
    """

    headers: list[Header]
    method: str = ''
    target: bytes = b''
    status: int = 0
    is_keep_alive: bool = True
    ends_with_connection: bool = False

    def values(self, name: bytes) -> list[bytes]:
        """Return every value of the header with that lower-case name."""
        return [content for key, content in self.headers if key.lower() == name]

    def value(self, name: bytes) -> str:
        """Return the header's first value, empty where it is absent."""
        found = self.values(name)
        return found[0].decode('latin-1') if found else ''


class End(enum.Enum):
    """The end of one message."""

    OF_MESSAGE = 'of_message'


Item = MessageHead | bytes | End


class _Collector:
    """Turns the parser's callbacks into items in the order of the wire."""

    def __init__(self) -> None:
        self.items: collections.deque[Item] = collections.deque()
        self.head_bytes = 0
        self.is_in_head = True
        self._head = MessageHead([])

    def on_message_begin(self) -> None:
        """Begin a head."""
        self._head = MessageHead([])
        self.is_in_head = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        self._head.target += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Take one header."""
        self._head.headers.append((name, content))

    def on_headers_complete(self) -> None:
        """End the head; the body follows."""
        self.is_in_head = False
        self.head_bytes = 0
        self.items.append(self._head)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self.items.append(body)

    def on_message_complete(self) -> None:
        """End the message."""
        self.items.append(End.OF_MESSAGE)


class RequestParser:
    """Parses requests strictly; items appear in `items`."""

    def __init__(self) -> None:
        self._collector = _RequestCollector()
        self._parser = httptools.HttpRequestParser(self._collector)
        self._collector.parser = self._parser
        self.items = self._collector.items

    @property
    def head_bytes(self) -> int:
        """Return the bytes taken of a head that is not complete yet."""
        return self._collector.head_bytes

    def feed(self, received: bytes) -> None:
        """Parse bytes; HttpParserError where they are no request."""
        self._collector.head_bytes += len(received)
        self._parser.feed_data(received)
        if not self._collector.is_in_head:
            self._collector.head_bytes = 0


class _RequestCollector(_Collector):
    """Adds what only the parser of requests knows when a head is complete."""

    parser: httptools.HttpRequestParser

    def on_headers_complete(self) -> None:
        """End the head."""
        self._head.method = self.parser.get_method().decode()
        self._head.is_keep_alive = self.parser.should_keep_alive()
        super().on_headers_complete()


class ResponseParser:
    """Parses answers strictly; items appear in `items`."""

    def __init__(self) -> None:
        self._collector = _AnswerCollector()
        self._parser = httptools.HttpResponseParser(self._collector)
        self._collector.parser = self._parser
        self.items = self._collector.items

    def feed(self, received: bytes) -> None:
        """Parse bytes; HttpParserError where they are no answer."""
        self._parser.feed_data(received)


class _AnswerCollector(_Collector):
    """Adds what only the parser of answers knows when a head is complete."""

    parser: httptools.HttpResponseParser

    def __init__(self) -> None:
        super().__init__()
        self._is_interim = False

    def on_headers_complete(self) -> None:
        """End the head, unless it is that of an interim answer."""
        head = self._head
        head.status = self.parser.get_status_code()
        self._is_interim = head.status < FIRST_FINAL_STATUS
        if self._is_interim:
            return
        head.is_keep_alive = self.parser.should_keep_alive()
        head.ends_with_connection = not _is_framed(head)
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """End the message, unless it was an interim one."""
        if not self._is_interim:
            super().on_message_complete()


def _is_framed(head: MessageHead) -> bool:
    return (
        bool(head.values(b'content-length'))
        or bool(head.values(b'transfer-encoding'))
        or head.status in NO_CONTENT_STATUSES
    )


def request_bytes(
    method: str, target: bytes, headers: Iterable[Header], body: bytes = b''
) -> bytes:
    """Return a whole request with its body's length."""
    parts = [method.encode(), b' ', target, b' HTTP/1.1', CRLF]
    parts += _header_parts(headers)
    if body or method not in {'GET', 'HEAD', 'DELETE', 'OPTIONS'}:
        parts += (b'Content-Length: ', str(len(body)).encode(), CRLF)
    parts += (CRLF, body)
    return b''.join(parts)


def response_bytes(
    status: int,
    headers: Iterable[Header],
    body: bytes = b'',
    told_length: str = '',
) -> bytes:
    """Return a whole answer with its body's length.

    An answer to HEAD tells the length that a body would have.
    """
    length = told_length or str(len(body))
    parts = [*_status_parts(status), *_header_parts(headers)]
    if status not in NO_CONTENT_STATUSES:
        parts += (b'Content-Length: ', length.encode(), CRLF)
    parts += (CRLF, body)
    return b''.join(parts)


def chunked_head_bytes(status: int, headers: Iterable[Header]) -> bytes:
    """Return the head of an answer that follows in chunks."""
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
