"""Relay of one streamed response from an upstream to a caller."""

import dataclasses
import enum
import socket
import threading
import time
from collections.abc import Generator

from marigoldhoist.components.streams.chunks import ChunkDecoder, encode_chunk
from marigoldhoist.components.streams.const import RECEIVE_BYTES
from marigoldhoist.components.streams.errors import (
    CallerDisconnectedError,
    StreamError,
    UpstreamCutError,
)
from marigoldhoist.components.streams.event_parser import EventStreamParser


class WaitFor(enum.Enum):
    """Socket that a stream waits for: upstream readable, caller writable."""

    UPSTREAM = 1
    CALLER = 2


StreamTask = Generator[WaitFor, None, None]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamSource:
    """An upstream's socket and the body bytes already read from it.

    `no_progress_s` is the longest time, in seconds, without upstream data.
    """

    upstream: socket.socket
    received: bytes
    no_progress_s: float


class RelayedStream:
    """Copies complete events from upstream to caller, except the end mark.

    `tokens` counts the tokens whose events were written to the caller's
    socket. `first_token_s` is the time to first token, in seconds since this
    object was created; `started_s` and `last_progress_s` are monotonic times.
    """

    def __init__(self, source: StreamSource, caller: socket.socket) -> None:
        self.upstream = source.upstream
        self.caller = caller
        self.no_progress_s = source.no_progress_s
        self.chunk_decoder = ChunkDecoder()
        self.event_parser = EventStreamParser()
        self.tokens = 0
        self.started_s = time.monotonic()
        self.first_token_s: float = 0
        self.last_progress_s = self.started_s
        self.waits_for = WaitFor.UPSTREAM
        self.ended = threading.Event()
        self.failure: StreamError | None = None
        self._received = source.received

    def task(self) -> StreamTask:
        """Copy until the end mark; yield a `WaitFor` when it would block.

        Raises StreamError if the stream ends early.
        """
        received = self._received
        while True:
            if received:
                yield from self._forward_events(
                    self.chunk_decoder.feed(received)
                )
            if self.event_parser.is_ended:
                return
            if self.chunk_decoder.is_ended:
                raise UpstreamCutError('answer ended without its end mark')
            yield WaitFor.UPSTREAM
            received = self._receive()

    def _receive(self) -> bytes:
        try:
            received = self.upstream.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return b''
        except OSError as error:
            raise UpstreamCutError(str(error)) from error
        if not received:
            raise UpstreamCutError('upstream closed the connection')
        self.last_progress_s = time.monotonic()
        return received

    def _forward_events(self, content: bytes) -> StreamTask:
        events = self.event_parser.feed(content)
        if not events:
            return
        unsent = self._send(encode_chunk(events))
        while unsent:
            yield WaitFor.CALLER
            unsent = self._send(unsent)
        self.tokens = self.event_parser.tokens
        self.first_token_s = self.first_token_s or (
            time.monotonic() - self.started_s
        )

    def _send(self, unsent: bytes) -> bytes:
        try:
            sent = self.caller.send(unsent)
        except BlockingIOError:
            return unsent
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from error
        self.last_progress_s = time.monotonic()
        return unsent[sent:]
