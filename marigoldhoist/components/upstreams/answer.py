"""An upstream's answer while it is read."""

import contextlib
from collections.abc import Iterator

import urllib3

from marigoldhoist.components.upstreams.const import READ_CHUNK_BYTES
from marigoldhoist.components.upstreams.models import Replica


class UpstreamAnswer:
    """Status, headers and body of one answer; close it when done.

    A connection whose answer was not read to its end is not used again.
    """

    def __init__(
        self, replica: Replica, reply: urllib3.BaseHTTPResponse
    ) -> None:
        self.replica = replica
        self.status = reply.status
        self.content_type = reply.headers.get('Content-Type', '')
        self._reply = reply
        self._is_whole = False
        self._is_closed = False

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it comes; urllib3 errors where it is cut."""
        if self._reply.chunked:
            yield from self._reply.read_chunked()
        else:
            yield from self._reply.stream(READ_CHUNK_BYTES)
        self._is_whole = True

    def close(self) -> None:
        """Give back the connection, or drop it if the body was not read."""
        if self._is_closed:
            return
        self._is_closed = True
        self.replica.end()
        with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
            if self._is_whole:
                self._reply.release_conn()
            else:
                self._reply.close()
