"""Relaying of streams: normal ends, failures and independent progress."""

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

EVENT_COUNT = 27_000


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


class StreamEndpoints:
    """Upstream and caller sockets with a stream between them."""

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
        """Relay the stream on a new thread."""
        thread = threading.Thread(target=streams.relay, args=(self.stream,))
        thread.start()
        return thread


class TestStreamService:
    """Relaying of one and of several streams."""

    def test_complete_stream(self, streams: StreamService) -> None:
        endpoints = StreamEndpoints(received=chunk(token_event(1)))
        running = endpoints.relay(streams)
        endpoints.upstream.sendall(
            chunk(token_event(2)) + chunk(DONE_EVENT) + LAST_CHUNK
        )
        running.join(5)
        assert endpoints.stream.failure is None
        assert endpoints.stream.tokens == 2
        assert endpoints.stream.chunk_decoder.is_ended
        assert endpoints.caller.recv(999) == chunk(token_event(1)) + chunk(
            token_event(2)
        )

    @pytest.mark.parametrize(
        'tail',
        [b'', LAST_CHUNK, chunk(token_event(2))[:-9], b'not a chunk\r\n'],
    )
    def test_early_end_is_a_cut(
        self, streams: StreamService, tail: bytes
    ) -> None:
        endpoints = StreamEndpoints()
        running = endpoints.relay(streams)
        endpoints.upstream.sendall(chunk(token_event(1)))
        assert endpoints.caller.recv(999) == chunk(token_event(1))
        endpoints.upstream.sendall(tail)
        endpoints.upstream.close()
        running.join(5)
        assert isinstance(endpoints.stream.failure, UpstreamCutError)
        assert endpoints.stream.tokens == 1

    def test_stalled_upstream_times_out(self, streams: StreamService) -> None:
        endpoints = StreamEndpoints(
            received=chunk(token_event(1)), no_progress_s=0.3
        )
        endpoints.relay(streams).join(5)
        assert isinstance(endpoints.stream.failure, UpstreamStalledError)

    def test_caller_disconnect_ends_a_stalled_stream(
        self, streams: StreamService
    ) -> None:
        endpoints = StreamEndpoints(received=chunk(token_event(1)))
        running = endpoints.relay(streams)
        endpoints.caller.close()
        running.join(5)
        assert isinstance(endpoints.stream.failure, CallerDisconnectedError)

    def test_slow_caller_does_not_block_other_streams(
        self, streams: StreamService
    ) -> None:
        slow, fast = StreamEndpoints(), StreamEndpoints()
        running = [slow.relay(streams), fast.relay(streams)]
        sent = b''.join(
            chunk(token_event(number)) for number in range(EVENT_COUNT)
        )
        feeder = threading.Thread(target=slow.upstream.sendall, args=(sent,))
        feeder.start()
        fast.upstream.sendall(
            chunk(token_event(1)) + chunk(DONE_EVENT) + LAST_CHUNK
        )
        running[1].join(5)
        assert fast.stream.failure is None
        assert running[0].is_alive()
        assert slow.stream.tokens < EVENT_COUNT
        threading.Thread(target=_read_all, args=(slow.caller,)).start()
        feeder.join(5)
        slow.upstream.sendall(chunk(DONE_EVENT) + LAST_CHUNK)
        running[0].join(5)
        assert slow.stream.failure is None
        assert slow.stream.tokens == EVENT_COUNT
        slow.stream.caller.close()


def _read_all(caller: socket.socket) -> None:
    with caller.makefile('rb') as reader:
        reader.read()
