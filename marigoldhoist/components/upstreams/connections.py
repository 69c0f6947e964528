"""HTTP connections to upstreams that detect truncated response heads.

`http.client` takes the end of a connection in the middle of a response's head
for the end of the head, so that a truncated response looks like one with an
empty body.
"""

import http.client
from io import BufferedReader
from typing import BinaryIO, cast

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool


class _HeadReader:
    """Reads the lines of a response's head."""

    def __init__(self, stream: BinaryIO) -> None:
        self._stream = stream
        self._has_begun = False

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line.

        Raise IncompleteRead if the connection ended within the head.
        """
        line = self._stream.readline(limit)
        is_at_end = len(line) != limit and not line.endswith(b'\n')
        if is_at_end and (line or self._has_begun):
            raise http.client.IncompleteRead(line)
        self._has_begun = True
        return line

    def close(self) -> None:
        """Close the connection's stream."""
        self._stream.close()


class _WholeHeadResponse(http.client.HTTPResponse):
    def begin(self) -> None:
        """Read the head; raise IncompleteRead if it is truncated."""
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
