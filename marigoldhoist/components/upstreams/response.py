"""HTTP response of an upstream."""

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
from marigoldhoist.core.decoding import parse_integer


class UpstreamResponse:
    """Status, headers and body of one response; close it after use.

    The connection is reused only if the body was read to its end.
    """

    def __init__(
        self, replica: Replica, reply: urllib3.BaseHTTPResponse
    ) -> None:
        self.replica = replica
        self.status = reply.status
        self.content_type = reply.headers.get('Content-Type', '')
        self._reply = reply
        self._is_fully_read = False
        self._is_closed = False

    @property
    def resumed_from(self) -> int:
        """Return how many tokens the engine skipped to resume a stream."""
        header = self._reply.headers.get(RESUMED_HEADER, '')
        return parse_integer(header) or 0

    @property
    def is_event_stream(self) -> bool:
        """Return whether the body is a stream of server-sent events."""
        return self.content_type.startswith(EVENT_STREAM_TYPE)

    def wait_for_body(self, timeout_s: float) -> bool:
        """Wait for the first body bytes; return False on timeout.

        Returns True at once if the body is not chunked.
        """
        upstream = self._socket()
        if upstream is None:
            return True
        previous_timeout_s = upstream.gettimeout()
        upstream.setblocking(False)
        received = self._http_reply().fp.peek(1)
        upstream.settimeout(previous_timeout_s)
        if received:
            return True
        poll = select.poll()
        poll.register(upstream, select.POLLIN)
        return bool(poll.poll(timeout_s * MS_PER_S))

    def stream_source(self, no_progress_s: float) -> StreamSource | None:
        """Return the source for relaying a chunked body from its socket.

        Returns None if the socket cannot be read directly, for example because
        the body is not chunked; use `chunks()` in that case.
        """
        upstream = self._socket()
        if upstream is None:
            return None
        received = self._drain_buffer(upstream)
        return StreamSource(upstream, received, no_progress_s)

    def mark_fully_read(self) -> None:
        """Record that the body was read to its end from the socket."""
        self._is_fully_read = True

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives; raise urllib3 errors if it is cut."""
        if self._reply.chunked:
            yield from self._reply.read_chunked()
        else:
            yield from self._reply.stream(READ_CHUNK_BYTES)
        self._is_fully_read = True

    def close(self) -> None:
        """Return the connection to the pool, or close it if data is unread."""
        if self._is_closed:
            return
        self._is_closed = True
        self.replica.end_request()
        with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
            if self._is_fully_read:
                self._finish_reply()
                self._reply.release_conn()
            else:
                self._reply.close()

    def _socket(self) -> socket.socket | None:
        """Return the socket of a chunked body, or None if there is none."""
        if not self._reply.chunked:
            return None
        connection = getattr(self._reply, 'connection', None)
        upstream: socket.socket | None = getattr(connection, 'sock', None)
        if upstream is not None:
            return upstream
        # http.client detaches the socket from a connection that the upstream
        # closes after this response; the buffered reader still holds it.
        buffered = getattr(self._http_reply(), 'fp', None)
        return getattr(getattr(buffered, 'raw', None), '_sock', None)

    def _drain_buffer(self, upstream: socket.socket) -> bytes:
        # http.client buffers body bytes that arrived with the head. They must
        # be taken from that buffer before the socket is read directly.
        buffered = self._http_reply().fp
        timeout_s = upstream.gettimeout()
        upstream.setblocking(False)
        received = bytes(buffered.peek())
        buffered.read(len(received))
        upstream.settimeout(timeout_s)
        return received

    def _finish_reply(self) -> None:
        # http.client does not see a body that was read from the socket. Without
        # this call it would refuse the next request on the connection.
        self._http_reply().close()

    def _http_reply(self) -> Any:
        return self._reply._fp  # type: ignore[attr-defined]
