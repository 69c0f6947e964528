"""An answer that is held back until its doubt is known."""

import time
from collections.abc import Callable, Iterator

import msgspec
import urllib3

from marigoldhoist.components.dispatch.const import EVENT_DATA
from marigoldhoist.components.streams.errors import StreamError
from marigoldhoist.components.streams.stream import StreamSource
from marigoldhoist.components.upstreams.response import UpstreamResponse

CUT = (urllib3.exceptions.HTTPError, StreamError)


class DoubtfulPart(msgspec.Struct, frozen=True):
    """The part of an event or answer that tells its doubt, in 0..1."""

    doubt: float | None = None


class HeldAnswer(UpstreamResponse):
    """Reads an answer ahead; what was read is delivered first, unchanged."""

    def __init__(
        self,
        inner: UpstreamResponse,
        on_read: 'Callable[[HeldAnswer], None]',
    ) -> None:
        self.replica = inner.replica
        self.status = inner.status
        self.content_type = inner.content_type
        self.doubt: float | None = None
        self.is_read = False
        self.is_cut = False
        self.started_s = time.monotonic()
        self.first_s: float = 0
        self.whole_s: float = 0
        self._inner = inner
        self._on_read = on_read
        self._rest = inner.chunks()
        self._received: list[bytes] = []

    @property
    def chunk_count(self) -> int:
        """Return how many chunks came, which is zero for an empty answer."""
        return len(self._received)

    def read_until(self, time_s: float) -> None:
        """Read until the end, or until this time on the monotonic clock."""
        while not self._is_over and time.monotonic() < time_s:
            self._read_one()

    def chunks(self) -> Iterator[bytes]:
        """Yield what was read and then the rest."""
        yield from self._received
        while not self._is_over:
            count = len(self._received)
            self._read_one()
            yield from self._received[count:]
        if self.is_cut:
            raise urllib3.exceptions.ProtocolError('answer broke off')

    def stream_source(self, _no_progress_s: float) -> StreamSource | None:
        """Return none: the answer has to be read here to know its doubt."""

    def mark_fully_read(self) -> None:
        """Do nothing; the answer was read here."""

    def close(self) -> None:
        """Close the answer; unless it was read, its connection is dropped."""
        self._inner.close()

    @property
    def _is_over(self) -> bool:
        return self.is_read or self.is_cut

    def _read_one(self) -> None:
        try:
            chunk = next(self._rest, None)
        except CUT:
            self.is_cut = True
            return
        if chunk is None:
            self._end()
            return
        self.first_s = self.first_s or time.monotonic() - self.started_s
        self._received.append(chunk)

    def _end(self) -> None:
        self.is_read = True
        self.whole_s = time.monotonic() - self.started_s
        self.doubt = doubt_in(b''.join(self._received), self.is_event_stream)
        self._on_read(self)


def doubt_in(body: bytes, is_event_stream: bool) -> float | None:
    """Return the doubt that comes with a body, if any."""
    if not is_event_stream:
        return _doubt_of(body)
    for event in reversed(body.split(b'\n')):
        if event.startswith(EVENT_DATA) and b'"doubt"' in event:
            return _doubt_of(event.removeprefix(EVENT_DATA))
    return None


def _doubt_of(text: bytes) -> float | None:
    try:
        return msgspec.json.decode(text, type=DoubtfulPart).doubt
    except msgspec.MsgspecError:
        return None
