"""An upstream's answer while it is read."""

import contextlib
import select
import socket
from collections.abc import Iterator
from typing import Any

import urllib3

from marigoldhoist.components.streams.stream import StreamSource
from marigoldhoist.components.upstreams.const import (
    EVENT_STREAM_TYPE,
    READ_CHUNK_BYTES,
    RESUMED_HEADER,
)
from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.core.const import MS_PER_S


class UpstreamResponse:
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

    @property
    def resumed_from(self) -> int:
        """Return the tokens that the engine left out, as it was asked to."""
        given = self._reply.headers.get(RESUMED_HEADER, '')
        return int(given) if given.isdigit() else 0

    @property
    def is_event_stream(self) -> bool:
        """Tell whether the body is a stream of server-sent events."""
        return self.content_type.startswith(EVENT_STREAM_TYPE)

    def wait_for_body(self, timeout_s: float) -> bool:
        """Wait for the first bytes of the body; False if none came in time."""
        upstream = self._socket()
        if upstream is None:
            return True
        timeout_before_s = upstream.gettimeout()
        upstream.setblocking(False)
        received = self._http_reply().fp.peek(1)
        upstream.settimeout(timeout_before_s)
        if received:
            return True
        poll = select.poll()
        poll.register(upstream, select.POLLIN)
        return bool(poll.poll(timeout_s * MS_PER_S))

    def stream_source(self, no_progress_s: float) -> StreamSource | None:
        """Return the socket that a chunked stream is read from.

        None where the body is not chunked; the caller then reads chunks().
        """
        upstream = self._socket()
        if upstream is None:
            return None
        received = self._read_ahead(upstream)
        return StreamSource(upstream, received, no_progress_s)

    def mark_fully_read(self) -> None:
        """Learn that the body was read to its end from the source."""
        self._is_whole = True

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
        self.replica.end_request()
        with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
            if self._is_whole:
                self._finish_reply()
                self._reply.release_conn()
            else:
                self._reply.close()

    def _socket(self) -> socket.socket | None:
        """Return the socket of a chunked body that is still to be read."""
        if not self._reply.chunked:
            return None
        connection = getattr(self._reply, 'connection', None)
        upstream: socket.socket | None = getattr(connection, 'sock', None)
        if upstream is not None:
            return upstream
        # http.client takes the socket off a connection that the upstream
        # closes after this answer; the buffered reader still holds it.
        buffered = getattr(self._http_reply(), 'fp', None)
        return getattr(getattr(buffered, 'raw', None), '_sock', None)

    def _read_ahead(self, upstream: socket.socket) -> bytes:
        # http.client buffers what came with the head; nothing else may read
        # the socket until that buffer is empty.
        buffered = self._http_reply().fp
        timeout_s = upstream.gettimeout()
        upstream.setblocking(False)
        received = bytes(buffered.peek())
        buffered.read(len(received))
        upstream.settimeout(timeout_s)
        return received

    def _finish_reply(self) -> None:
        # A body that was read from the socket is unknown to http.client,
        # which would refuse the connection's next request.
        self._http_reply().close()

    def _http_reply(self) -> Any:
        return self._reply._fp  # type: ignore[attr-defined]
