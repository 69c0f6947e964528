"""Body of a streamed answer, to be iterated or relayed to a socket."""

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
    """How an answer ended.

    first_token_s is the time to first token in seconds, measured from the
    start of reading the body. The body is set for unstreamed answers only,
    so that the response can be replayed. is_abandoned means that this daemon
    stopped reading, usually because the caller disconnected.
    """

    tokens: int
    is_whole: bool
    first_token_s: float
    body: bytes = b''
    is_abandoned: bool = False


OnEnd = Callable[[StreamEnd], None]
# Takes the number of delivered tokens and the interrupted answer. Returns an
# answer that continues it, or None.
Resume = Callable[[int, UpstreamResponse], UpstreamResponse | None]


class StreamBody(Iterator[bytes]):
    """Event stream that is iterated or relayed to a socket, never both.

    on_end runs before the caller receives the [DONE] event, so that the
    answer has been billed by then.
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
        self._delivered_tokens = 0
        self._events = self._iterate()
        self._is_started = False

    def __next__(self) -> bytes:
        """Return the next complete events as bytes.

        Raises AnswerCutError if the stream ended early.
        """
        self._is_started = True
        return next(self._events)

    def close(self) -> None:
        """Close the answer and bill the tokens that were iterated."""
        self._events.close()
        if not self._is_started:
            self._is_started = True
            self._answer.close()
            self._on_end(
                StreamEnd(0, is_whole=False, first_token_s=0, is_abandoned=True)
            )

    def relay(self, caller: socket.socket) -> bool:
        """Send the body to the caller with chunked transfer encoding.

        Returns False if the caller did not receive the complete body.
        """
        source = self._answer.stream_source(self._no_progress_s)
        if source is None:
            return self._relay_iterated(caller)
        self._is_started = True
        with contextlib.ExitStack() as closing:
            closing.callback(self._close_answer)
            stream = self._relay_with_resume(RelayedStream(source, caller))
            is_sent = _send_end(caller, stream.failure)
            if stream.failure is None:
                self._read_last_chunk(stream)
        return is_sent

    def _relay_with_resume(self, stream: RelayedStream) -> RelayedStream:
        """Relay to the end of the answer, resuming interrupted streams."""
        first = stream
        next_stream: RelayedStream | None = stream
        try:
            while next_stream is not None:
                stream = next_stream
                self._streams.relay(stream)
                next_stream = self._resume_stream(stream)
        finally:
            is_whole = stream.ended.is_set() and stream.failure is None
            tokens = self._delivered_tokens + stream.tokens
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

    def _resume_stream(self, broken: RelayedStream) -> RelayedStream | None:
        if not isinstance(
            broken.failure, UpstreamCutError | UpstreamStalledError
        ):
            return None
        delivered = self._delivered_tokens + broken.tokens
        rest = self._resume(delivered, self._answer)
        if rest is None:
            return None
        self._close_answer()
        self._answer = rest
        source = rest.stream_source(self._no_progress_s)
        if source is None:
            return None
        self._delivered_tokens = delivered
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
        meter = EventStreamParser()
        tokens = 0
        started_s = time.monotonic()
        first_token_s: float = 0
        is_abandoned = True
        try:
            for chunk in self._answer.chunks():
                events = meter.feed(chunk)
                if events:
                    first_token_s = first_token_s or (
                        time.monotonic() - started_s
                    )
                    yield events
                tokens = meter.tokens
            is_abandoned = False
        except (urllib3.exceptions.HTTPError, StreamError):
            meter.end_mark = b''
            is_abandoned = False
        finally:
            self._answer.close()
            self._on_end(
                StreamEnd(
                    tokens,
                    meter.is_ended,
                    first_token_s,
                    is_abandoned=is_abandoned,
                )
            )
        yield END_MARK if meter.is_ended else error_event()
        if not meter.is_ended:
            raise AnswerCutError('stream ended early')


def error_event() -> bytes:
    """Return the server-sent event that reports a truncated answer."""
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
        # The terminating chunk is omitted, so that a caller that ignores the
        # error event still detects a truncated body.
        caller.sendall(encode_chunk(error_event()))
    except OSError:
        return False
    return False
