"""Streams end as their two ends do, and don't hold one another."""

import socket
import threading
from collections.abc import Iterator

import pytest

from marigoldhoist.components.streams.errors import (
    CallerDisconnectedError,
    UpstreamCutError,
    UpstreamStalledError,
)
from marigoldhoist.components.streams.service import StreamService
from marigoldhoist.components.streams.stream import RelayedStream, StreamSource
from marigoldhoist.core.kernel import Kernel
from tests.scripted import DONE_EVENT, LAST_CHUNK, chunk, token_event

BIG_EVENTS = 27_000


@pytest.fixture
def streams() -> Iterator[StreamService]:
    """Start a stream service."""
    kernel = Kernel.__new__(Kernel)
    kernel.stopping = threading.Event()
    kernel._threads = []
    service = StreamService(kernel)
    service.start()
    yield service
    kernel.stopping.set()


class Ends:
    """An upstream and a caller with a stream between them."""

    def __init__(
        self, received: bytes = b'', no_progress_s: float = 10
    ) -> None:
        upstream = socket.socketpair()
        caller = socket.socketpair()
        self.upstream = upstream[0]
        self.caller = caller[0]
        source = StreamSource(upstream[1], received, no_progress_s)
        self.stream = RelayedStream(source, caller[1])

    def relay(self, streams: StreamService) -> threading.Thread:
        """Run the stream on a thread."""
        thread = threading.Thread(target=streams.relay, args=(self.stream,))
        thread.start()
        return thread


class TestStreamService:
    """The copying of one stream and of several."""

    def test_whole_stream(self, streams: StreamService) -> None:
        ends = Ends(received=chunk(token_event(1)))
        running = ends.relay(streams)
        ends.upstream.sendall(
            chunk(token_event(2)) + chunk(DONE_EVENT) + LAST_CHUNK
        )
        running.join(5)
        assert ends.stream.failure is None
        assert ends.stream.tokens == 2
        assert ends.stream.chunk_decoder.is_ended
        assert ends.caller.recv(999) == chunk(token_event(1)) + chunk(
            token_event(2)
        )

    @pytest.mark.parametrize(
        'tail',
        [b'', LAST_CHUNK, chunk(token_event(2))[:-9], b'not a chunk\r\n'],
    )
    def test_early_end_is_a_cut(
        self, streams: StreamService, tail: bytes
    ) -> None:
        ends = Ends()
        running = ends.relay(streams)
        ends.upstream.sendall(chunk(token_event(1)))
        assert ends.caller.recv(999) == chunk(token_event(1))
        ends.upstream.sendall(tail)
        ends.upstream.close()
        running.join(5)
        assert isinstance(ends.stream.failure, UpstreamCutError)
        assert ends.stream.tokens == 1

    def test_silence_is_noticed(self, streams: StreamService) -> None:
        ends = Ends(received=chunk(token_event(1)), no_progress_s=0.3)
        ends.relay(streams).join(5)
        assert isinstance(ends.stream.failure, UpstreamStalledError)

    def test_caller_that_leaves_ends_a_silent_stream(
        self, streams: StreamService
    ) -> None:
        ends = Ends(received=chunk(token_event(1)))
        running = ends.relay(streams)
        ends.caller.close()
        running.join(5)
        assert isinstance(ends.stream.failure, CallerDisconnectedError)

    def test_slow_caller_holds_its_own_stream_only(
        self, streams: StreamService
    ) -> None:
        slow, fast = Ends(), Ends()
        running = [slow.relay(streams), fast.relay(streams)]
        sent = b''.join(
            chunk(token_event(number)) for number in range(BIG_EVENTS)
        )
        feeder = threading.Thread(target=slow.upstream.sendall, args=(sent,))
        feeder.start()
        fast.upstream.sendall(
            chunk(token_event(1)) + chunk(DONE_EVENT) + LAST_CHUNK
        )
        running[1].join(5)
        assert fast.stream.failure is None
        assert running[0].is_alive()
        assert slow.stream.tokens < BIG_EVENTS
        threading.Thread(target=_read_all, args=(slow.caller,)).start()
        feeder.join(5)
        slow.upstream.sendall(chunk(DONE_EVENT) + LAST_CHUNK)
        running[0].join(5)
        assert slow.stream.failure is None
        assert slow.stream.tokens == BIG_EVENTS
        slow.stream.caller.close()


def _read_all(caller: socket.socket) -> None:
    with caller.makefile('rb') as reader:
        reader.read()
