"""Answers that are buffered until their doubt is known."""

import time
from collections.abc import Callable, Iterator

import msgspec
import urllib3

from marigoldhoist.components.dispatch.const import EVENT_DATA_PREFIX
from marigoldhoist.components.streams.errors import StreamError
from marigoldhoist.components.streams.stream import StreamSource
from marigoldhoist.components.upstreams.response import UpstreamResponse
from marigoldhoist.core.decoding import decode_json

STREAM_ERRORS = (urllib3.exceptions.HTTPError, StreamError)


class DoubtField(msgspec.Struct, frozen=True):
    """The `doubt` field of an event or answer, between 0 and 1."""

    doubt: float | None = None


class BufferedAnswer(UpstreamResponse):
    """Answer that can be read ahead of its delivery.

    Buffered chunks are delivered first and unchanged. started_s is a time on
    the monotonic clock; first_chunk_s and total_s are seconds since then.
    on_complete runs when the answer has been read to its end.
    """

    def __init__(
        self,
        inner: UpstreamResponse,
        on_complete: 'Callable[[BufferedAnswer], None]',
    ) -> None:
        self.replica = inner.replica
        self.status = inner.status
        self.content_type = inner.content_type
        self.doubt: float | None = None
        self.is_complete = False
        self.is_truncated = False
        self.started_s = time.monotonic()
        self.first_chunk_s: float = 0
        self.total_s: float = 0
        self._inner = inner
        self._on_complete = on_complete
        self._upstream_chunks = inner.chunks()
        self._received: list[bytes] = []

    @property
    def chunk_count(self) -> int:
        """Return the number of received chunks, zero for an empty answer."""
        return len(self._received)

    def read_until(self, deadline_s: float) -> None:
        """Read until the end or a deadline on the monotonic clock."""
        while not self._is_ended and time.monotonic() < deadline_s:
            self._read_chunk()

    def chunks(self) -> Iterator[bytes]:
        """Yield the buffered chunks, then the remaining ones."""
        yield from self._received
        while not self._is_ended:
            count = len(self._received)
            self._read_chunk()
            yield from self._received[count:]
        if self.is_truncated:
            raise urllib3.exceptions.ProtocolError('answer broke off')

    def stream_source(self, _no_progress_s: float) -> StreamSource | None:
        """Return None: relaying the socket would bypass the doubt parser."""

    def mark_fully_read(self) -> None:
        """Do nothing; this class reads the answer to its end itself."""

    def close(self) -> None:
        """Close the answer; drop the connection unless it was read fully."""
        self._inner.close()

    @property
    def _is_ended(self) -> bool:
        return self.is_complete or self.is_truncated

    def _read_chunk(self) -> None:
        try:
            chunk = next(self._upstream_chunks, None)
        except STREAM_ERRORS:
            self.is_truncated = True
            return
        if chunk is None:
            self._finish()
            return
        self.first_chunk_s = (
            self.first_chunk_s or time.monotonic() - self.started_s
        )
        self._received.append(chunk)

    def _finish(self) -> None:
        self.is_complete = True
        self.total_s = time.monotonic() - self.started_s
        self.doubt = doubt_of_body(
            b''.join(self._received), self.is_event_stream
        )
        self._on_complete(self)


def doubt_of_body(body: bytes, is_event_stream: bool) -> float | None:
    """Return the doubt that a body reports, or None.

    In an event stream, the last event with a doubt field counts.
    """
    if not is_event_stream:
        return _decode_doubt(body)
    for event in reversed(body.split(b'\n')):
        if event.startswith(EVENT_DATA_PREFIX) and b'"doubt"' in event:
            return _decode_doubt(event.removeprefix(EVENT_DATA_PREFIX))
    return None


def _decode_doubt(text: bytes) -> float | None:
    try:
        return decode_json(text, DoubtField).doubt
    except msgspec.MsgspecError:
        return None
