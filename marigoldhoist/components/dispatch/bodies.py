"""The body of a streamed answer, which is either iterated or relayed."""

import contextlib
import socket
import time
from collections.abc import Callable, Generator, Iterator

import msgspec
import urllib3

from marigoldhoist.components.dispatch.const import (
    END_MARK,
    LAST_CHUNK_TIMEOUT_S,
)
from marigoldhoist.components.dispatch.errors import AnswerCutError
from marigoldhoist.components.streams.chunks import encode_chunk
from marigoldhoist.components.streams.const import LAST_CHUNK, RECEIVE_BYTES
from marigoldhoist.components.streams.errors import (
    CallerDisconnectedError,
    StreamError,
    UpstreamCutError,
    UpstreamStalledError,
)
from marigoldhoist.components.streams.event_parser import EventStreamParser
from marigoldhoist.components.streams.service import StreamService
from marigoldhoist.components.streams.stream import RelayedStream
from marigoldhoist.components.upstreams.response import UpstreamResponse
from marigoldhoist.core.errors import ErrorCode
from marigoldhoist.core.verdict import Verdict


class StreamEnd(msgspec.Struct, frozen=True):
    """How an answer ended; the first token's time counts from its head.

    The body of an unstreamed answer is kept, as it may be wanted again. An
    abandoned answer was not read on because its caller had gone.
    """

    tokens: int
    is_whole: bool
    first_token_s: float
    body: bytes = b''
    is_abandoned: bool = False


OnEnd = Callable[[StreamEnd], None]
# Takes the tokens delivered and the broken answer; returns the rest, if any.
Resume = Callable[[int, UpstreamResponse], UpstreamResponse | None]


class StreamBody(Iterator[bytes]):
    """Iterate it, or relay it to a caller's socket; never both.

    The end is reported before the caller gets the end mark, so that the
    bill is taken by then.
    """

    def __init__(
        self,
        answer: UpstreamResponse,
        streams: StreamService,
        no_progress_s: float,
        on_end: OnEnd,
        resume: Resume,
    ) -> None:
        self._answer = answer
        self._streams = streams
        self._no_progress_s = no_progress_s
        self._on_end = on_end
        self._resume = resume
        self._tokens_before = 0
        self._events = self._iterate()
        self._is_begun = False

    def __next__(self) -> bytes:
        """Return the next whole events; AnswerCutError after an early end."""
        self._is_begun = True
        return next(self._events)

    def close(self) -> None:
        """End the answer; it is billed for what was iterated."""
        self._events.close()
        if not self._is_begun:
            self._is_begun = True
            self._answer.close()
            self._on_end(
                StreamEnd(0, is_whole=False, first_token_s=0, is_abandoned=True)
            )

    def relay(self, caller: socket.socket) -> bool:
        """Send the body as chunks; False where the caller's is not whole."""
        source = self._answer.stream_source(self._no_progress_s)
        if source is None:
            return self._relay_iterated(caller)
        self._is_begun = True
        with contextlib.ExitStack() as closing:
            closing.callback(self._close_answer)
            stream = self._copy(RelayedStream(source, caller))
            is_sent = _send_end(caller, stream.failure)
            if stream.failure is None:
                self._read_last_chunk(stream)
        return is_sent

    def _copy(self, stream: RelayedStream) -> RelayedStream:
        """Copy to the end, with the rest of a stream that broke off."""
        first = stream
        going_on: RelayedStream | None = stream
        try:
            while going_on is not None:
                stream = going_on
                self._streams.relay(stream)
                going_on = self._rest_of(stream)
        finally:
            is_whole = stream.ended.is_set() and stream.failure is None
            tokens = self._tokens_before + stream.tokens
            self._on_end(
                StreamEnd(
                    tokens,
                    is_whole,
                    first.first_token_s,
                    is_abandoned=isinstance(
                        stream.failure, CallerDisconnectedError
                    ),
                )
            )
        return stream

    def _rest_of(self, broken: RelayedStream) -> RelayedStream | None:
        if not isinstance(
            broken.failure, UpstreamCutError | UpstreamStalledError
        ):
            return None
        delivered = self._tokens_before + broken.tokens
        rest = self._resume(delivered, self._answer)
        if rest is None:
            return None
        self._close_answer()
        self._answer = rest
        source = rest.stream_source(self._no_progress_s)
        if source is None:
            return None
        self._tokens_before = delivered
        return RelayedStream(source, broken.caller)

    def _close_answer(self) -> None:
        self._answer.close()

    def _relay_iterated(self, caller: socket.socket) -> bool:
        with contextlib.closing(self):
            try:
                for events in self:
                    caller.sendall(encode_chunk(events))
            except (AnswerCutError, OSError):
                return False
        caller.sendall(LAST_CHUNK)
        return True

    def _read_last_chunk(self, stream: RelayedStream) -> None:
        upstream = stream.upstream
        upstream.settimeout(LAST_CHUNK_TIMEOUT_S)
        with contextlib.suppress(OSError, StreamError):
            while not stream.chunk_decoder.is_ended:
                received = upstream.recv(RECEIVE_BYTES)
                if not received:
                    return
                stream.chunk_decoder.feed(received)
            self._answer.mark_fully_read()

    def _iterate(self) -> Generator[bytes, None, None]:
        parser = EventStreamParser()
        tokens = 0
        started_s = time.monotonic()
        first_token_s: float = 0
        is_abandoned = True
        try:
            for chunk in self._answer.chunks():
                events = parser.feed(chunk)
                if events:
                    first_token_s = first_token_s or (
                        time.monotonic() - started_s
                    )
                    yield events
                tokens = parser.tokens
            is_abandoned = False
        except (urllib3.exceptions.HTTPError, StreamError):
            parser.end_mark = b''
            is_abandoned = False
        finally:
            self._answer.close()
            self._on_end(
                StreamEnd(
                    tokens,
                    parser.is_ended,
                    first_token_s,
                    is_abandoned=is_abandoned,
                )
            )
        yield END_MARK if parser.is_ended else error_event()
        if not parser.is_ended:
            raise AnswerCutError('stream ended early')


def error_event() -> bytes:
    """Return the event that tells a caller of an early end."""
    detail = {
        'code': ErrorCode.UPSTREAM_CUT.value,
        'message': 'the answer broke off before its end',
        'verdict': Verdict.RAN.value,
    }
    encoded = msgspec.json.encode({'error': detail})
    return b'event: error\ndata: %b\n\n' % encoded


def _send_end(caller: socket.socket, failure: StreamError | None) -> bool:
    if isinstance(failure, CallerDisconnectedError):
        return False
    try:
        if failure is None:
            caller.sendall(encode_chunk(END_MARK) + LAST_CHUNK)
            return True
        # The body stays without its last chunk, so that a caller which
        # ignores the event still sees that the answer is not whole.
        caller.sendall(encode_chunk(error_event()))
    except OSError:
        return False
    return False
