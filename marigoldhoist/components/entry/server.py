"""HTTP server for callers; rejects malformed requests with JSON errors."""

import socket
from collections.abc import MutableMapping
from typing import Any

import msgspec
from cheroot import server

from marigoldhoist.components.dispatch.const import VERDICT_HEADER
from marigoldhoist.components.entry.const import DEFAULT_HEAD_TIMEOUT_S
from marigoldhoist.components.entry.models import FailureBody, FailureDetail
from marigoldhoist.components.entry.timed_stream import (
    TimedSocketIO,
    make_stream,
)
from marigoldhoist.core.decoding import parse_integer
from marigoldhoist.core.errors import ErrorCode
from marigoldhoist.core.verdict import Verdict

UNIQUE_HEADERS = frozenset(
    (
        b'Authorization',
        b'Content-Length',
        b'Host',
        b'Transfer-Encoding',
        b'X-Deadline-Ms',
        b'X-Not-Repeatable',
        b'X-Request-Id',
        b'X-Session',
    )
)
TOO_LARGE_STATUSES = ('413', '414')
INTERNAL_ERROR_STATUS = '500'


class StrictHeaders(dict[bytes, bytes]):
    """Request headers; those in UNIQUE_HEADERS must not be repeated."""

    def __setitem__(self, name: bytes, content: bytes) -> None:
        """Add a header; raise ValueError if it is repeated or malformed."""
        if name in UNIQUE_HEADERS and name in self:
            raise ValueError(f'header {name.decode("latin-1")} came twice')
        if b'\0' in content or b'\r' in content:
            raise ValueError('header holds a control character')
        super().__setitem__(name, content)


class StrictHeaderReader(server.HeaderReader):
    """Rejects ambiguous message lengths, which allow request smuggling."""

    def __call__(
        self, rfile: Any, headers: MutableMapping[bytes, bytes] | None = None
    ) -> MutableMapping[bytes, bytes]:
        """Read headers; raise ValueError if they are rejected."""
        received = super().__call__(rfile, StrictHeaders())
        if b'Content-Length' in received and b'Transfer-Encoding' in received:
            raise ValueError('both Content-Length and Transfer-Encoding')
        length = received.get(b'Content-Length', b'0')
        if parse_integer(length.decode('latin-1')) is None:
            raise ValueError('Content-Length is not a number')
        if headers is not None:
            headers.update(received)
        return dict(received)


class CallerRequestParser(server.HTTPRequest):
    """Parses requests; a request that fails to parse was not run.

    cheroot reports an exception of the gateway here as well, with status 500;
    such a request may have run.
    """

    header_reader = StrictHeaderReader()

    def parse_request(self) -> None:
        """Parse the head; the time for it does not count for the body."""
        super().parse_request()
        self.conn.rfile.raw.allow(None)

    def simple_response(self, status: Any, msg: str = '') -> None:
        """Send a JSON error and close the connection."""
        status_line = str(status)
        code, verdict = _classify_status(status_line)
        detail = FailureDetail(code.value, msg or status_line, verdict.value)
        body = msgspec.json.encode(FailureBody(detail))
        head = (
            f'HTTP/1.1 {status_line}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n'
            f'{VERDICT_HEADER}: {verdict.value}\r\n'
            'Connection: close\r\n\r\n'
        )
        self.close_connection = True
        self.conn.wfile.write(head.encode('latin-1') + body)


def _classify_status(status_line: str) -> tuple[ErrorCode, Verdict]:
    if status_line.startswith(INTERNAL_ERROR_STATUS):
        return ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN
    if status_line.startswith(TOO_LARGE_STATUSES):
        return ErrorCode.BODY_TOO_LARGE, Verdict.NOT_RUN
    return ErrorCode.BAD_REQUEST, Verdict.NOT_RUN


class CallerConnection(server.HTTPConnection):
    """Connection whose requests CallerRequestParser reads.

    `is_new` until its first bytes have come or are waited for.
    """

    RequestHandlerClass = CallerRequestParser

    def __init__(
        self,
        caller_server: 'CallerServer',
        caller_socket: socket.socket,
        _makefile: object,
    ) -> None:
        super().__init__(caller_server, caller_socket, make_stream)
        self.is_new = True

    def communicate(self) -> bool:
        """Serve a request; return whether the connection is kept open."""
        timed: TimedSocketIO = self.rfile.raw
        timed.allow(self.server.head_timeout_s)
        is_kept = super().communicate()  # type: ignore[no-untyped-call]
        return bool(is_kept)


class CallerServer(server.HTTPServer):
    """HTTP server with one thread per request in flight.

    The head of a request has to come within `head_timeout_s` of its first
    bytes.
    """

    ConnectionClass = CallerConnection
    head_timeout_s: float = DEFAULT_HEAD_TIMEOUT_S

    def process_conn(self, conn: CallerConnection) -> None:
        """Pass a connection to a thread once it has sent something."""
        if conn.is_new:
            conn.is_new = False
            self._connections.put(conn)  # type: ignore[attr-defined]
            return
        super().process_conn(conn)
