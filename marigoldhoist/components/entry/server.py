"""The HTTP server for callers, which refuses malformed requests as JSON."""

from collections.abc import MutableMapping
from typing import Any

import msgspec
from cheroot import server

from marigoldhoist.components.dispatch.const import VERDICT_HEADER
from marigoldhoist.components.entry.models import FailureBody, FailureDetail
from marigoldhoist.core.errors import ErrorCode
from marigoldhoist.core.verdict import Verdict

SINGLE_HEADERS = frozenset(
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
    """Headers of which some may come only once."""

    def __setitem__(self, name: bytes, content: bytes) -> None:
        """Add a header; ValueError where it is repeated or malformed."""
        if name in SINGLE_HEADERS and name in self:
            raise ValueError(f'header {name.decode("latin-1")} came twice')
        if b'\0' in content or b'\r' in content:
            raise ValueError('header holds a control character')
        super().__setitem__(name, content)


class StrictHeaderReader(server.HeaderReader):
    """Refuses headers by which two readers could see two requests."""

    def __call__(
        self, rfile: Any, headers: MutableMapping[bytes, bytes] | None = None
    ) -> MutableMapping[bytes, bytes]:
        """Read headers; ValueError where they are refused."""
        read = super().__call__(rfile, StrictHeaders())
        if b'Content-Length' in read and b'Transfer-Encoding' in read:
            raise ValueError('both Content-Length and Transfer-Encoding')
        length = read.get(b'Content-Length', b'0')
        if not length.isdigit():
            raise ValueError('Content-Length is not a number')
        if headers is not None:
            headers.update(read)
        return dict(read)


class CallerRequestParser(server.HTTPRequest):
    """Parses requests; what it refuses itself was never run."""

    header_reader = StrictHeaderReader()

    def simple_response(self, status: Any, msg: str = '') -> None:
        """Refuse with a JSON body; the connection is closed after it."""
        line = str(status)
        code, verdict = _meaning_of(line)
        detail = FailureDetail(code.value, msg or line, verdict.value)
        body = msgspec.json.encode(FailureBody(detail))
        head = (
            f'HTTP/1.1 {line}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n'
            f'{VERDICT_HEADER}: {verdict.value}\r\n'
            'Connection: close\r\n\r\n'
        )
        self.close_connection = True
        self.conn.wfile.write(head.encode('latin-1') + body)


def _meaning_of(status_line: str) -> tuple[ErrorCode, Verdict]:
    if status_line.startswith(INTERNAL_ERROR_STATUS):
        return ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN
    if status_line.startswith(TOO_LARGE_STATUSES):
        return ErrorCode.BODY_TOO_LARGE, Verdict.NOT_RUN
    return ErrorCode.BAD_REQUEST, Verdict.NOT_RUN


class CallerConnection(server.HTTPConnection):
    """A caller's connection."""

    RequestHandlerClass = CallerRequestParser


class CallerServer(server.HTTPServer):
    """Serves one thread for each request in flight."""

    ConnectionClass = CallerConnection
