"""HTTP connections to upstreams that detect incomplete response heads.

`http.client` takes the end of a connection in the middle of a response's head
for the end of the head, so that a truncated response looks like one with an
empty body. It parses a head that was cut off and the next response as one head,
with the status of the first.
"""

import http.client
from io import BufferedReader
from typing import BinaryIO, Final, cast

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from marigoldhoist.core.status_lines import STATUS_LINE_START

BLANK_LINES: Final = frozenset((b'\r\n', b'\n'))


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
        """Read the head; raise HTTPException if it is incomplete."""
        stream = self.fp
        self.fp = cast(BufferedReader, _HeadReader(stream))
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = stream


class _UpstreamConnection(HTTPConnection):
    response_class = _WholeHeadResponse


class _UpstreamConnectionPool(HTTPConnectionPool):
    ConnectionCls = _UpstreamConnection


def new_pool(
    max_hosts: int, connections_per_host: int = 1
) -> urllib3.PoolManager:
    """Return a pool that never retries; truncated heads raise HTTPError."""
    pool = urllib3.PoolManager(
        num_pools=max_hosts, maxsize=connections_per_host, retries=False
    )
    pool.pool_classes_by_scheme = {'http': _UpstreamConnectionPool}
    return pool
