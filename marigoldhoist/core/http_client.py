"""HTTP connections that detect incomplete and invalid responses.

`http.client` takes the end of a connection in the middle of a response's head
for the end of the head, so that a truncated response looks like one with an
empty body. It parses a head that was cut off and the next response as one head,
with the status of the first. It takes any status from 100 to 999.

`urllib3` goes on to the response if the request cannot be written, as the
server may have answered early. The failed write has taken the error of the
socket then, so that a response without a length seems to end in order.
"""

import http.client
from io import BufferedReader
from typing import Any, BinaryIO, Final, cast

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.response import HTTPResponse

from marigoldhoist.core.status_lines import STATUS_LINE_START

BLANK_LINES: Final = frozenset((b'\r\n', b'\n'))
STATUSES: Final = range(100, 600)


class _HeadReader:
    """Reads the lines of a response's head."""

    def __init__(self, stream: BinaryIO) -> None:
        self._stream = stream
        self._has_begun = False
        self._is_status_line_next = True

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line.

        Raise IncompleteRead if the connection ended within the head, and
        BadStatusLine if another response begins there.
        """
        line = self._stream.readline(limit)
        is_at_end = len(line) != limit and not line.endswith(b'\n')
        if is_at_end and (line or self._has_begun):
            raise http.client.IncompleteRead(line)
        self._has_begun = True
        start = int(self._is_status_line_next)
        if STATUS_LINE_START.search(line, start):
            raise http.client.BadStatusLine(line.decode('latin-1'))
        # An interim response is followed by another head.
        self._is_status_line_next = line in BLANK_LINES
        return line

    def close(self) -> None:
        """Close the connection's stream."""
        self._stream.close()


class _WholeHeadResponse(http.client.HTTPResponse):
    def begin(self) -> None:
        """Read the head; raise HTTPException if it is invalid."""
        stream = self.fp
        self.fp = cast(BufferedReader, _HeadReader(stream))
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = stream
        if self.status not in STATUSES:
            raise http.client.BadStatusLine(str(self.status))


class _StrictConnection(HTTPConnection):
    response_class = _WholeHeadResponse

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._is_request_cut = False

    def request(self, *arguments: Any, **options: Any) -> None:
        """Send a request; note whether it was written to its end."""
        self._is_request_cut = True
        super().request(*arguments, **options)
        self._is_request_cut = False

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """Return the response.

        Raise HTTPException if it ends with its connection, although that was
        lost before.
        """
        response = super().getresponse()
        has_length = response.chunked or response.length_remaining is not None
        if self._is_request_cut and not has_length:
            raise http.client.IncompleteRead(b'')
        return response


class _StrictConnectionPool(HTTPConnectionPool):
    ConnectionCls = _StrictConnection


def new_pool(
    max_hosts: int, connections_per_host: int = 1
) -> urllib3.PoolManager:
    """Return a pool that never retries; bad responses raise HTTPError."""
    pool = urllib3.PoolManager(
        num_pools=max_hosts, maxsize=connections_per_host, retries=False
    )
    pool.pool_classes_by_scheme = {
        **pool.pool_classes_by_scheme,
        'http': _StrictConnectionPool,
    }
    return pool
