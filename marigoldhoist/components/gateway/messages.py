"""Models and serialization of HTTP/1.1 messages."""

import dataclasses
import enum
from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

from marigoldhoist.core.decoding import parse_integer

CRLF: Final = b'\r\n'
LAST_CHUNK: Final = b'0\r\n\r\n'
# The colon, the space and the line end of a header.
HEADER_FRAMING_BYTES: Final = 4
# A tuple and two bytes objects, beside their content.
HEADER_OBJECT_BYTES: Final = 128
NO_CONTENT_STATUSES: Final = frozenset((204, 304))

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
