"""Event loop that relays all streams on one thread."""

import select
import sys
import threading
import time

from marigoldhoist.components.streams.const import (
    CALLER_STALL_TIMEOUT_S,
    SWEEP_INTERVAL_S,
    SWITCH_INTERVAL_S,
)
from marigoldhoist.components.streams.errors import (
    CallerDisconnectedError,
    StreamError,
    UpstreamCutError,
    UpstreamStalledError,
)
from marigoldhoist.components.streams.events import STREAM_CUT
from marigoldhoist.components.streams.models import StreamStatus
from marigoldhoist.components.streams.stream import (
    RelayedStream,
    StreamTask,
    WaitFor,
)
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel

CALLER_EVENTS = select.EPOLLRDHUP
DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class StreamService(BaseService):
    """Relays streams; each calling thread waits until its stream ends."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._closed_fds: set[int] = set()
        self._stream_by_fd: dict[int, RelayedStream] = {}
        self._task_by_stream: dict[RelayedStream, StreamTask] = {}

    def start(self) -> None:
        """Start the event loop thread."""
        # The event loop needs the global interpreter lock for every token. At
        # the default switch interval a CPU-bound thread may hold it for 5 ms.
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self._kernel.spawn('streams', self._run)

    def status(self) -> StreamStatus:
        """Return the number of open streams."""
        return StreamStatus(len(self._task_by_stream))

    def relay(self, stream: RelayedStream) -> None:
        """Relay the stream to its end; on failure, set `stream.failure`."""
        upstream_timeout_s = stream.upstream.gettimeout()
        caller_timeout_s = stream.caller.gettimeout()
        stream.upstream.setblocking(False)
        stream.caller.setblocking(False)
        self._register(stream)
        stream.ended.wait()
        if isinstance(stream.failure, UpstreamCutError | UpstreamStalledError):
            emit(STREAM_CUT, reason=str(stream.failure), tokens=stream.tokens)
        stream.upstream.settimeout(upstream_timeout_s)
        stream.caller.settimeout(caller_timeout_s)

    def _register(self, stream: RelayedStream) -> None:
        task = stream.task()
        try:
            waits_for = next(task)
        except StopIteration:
            stream.ended.set()
            return
        except StreamError as error:
            stream.failure = error
            stream.ended.set()
            return
        with self._lock:
            self._task_by_stream[stream] = task
            self._epoll.register(stream.caller, CALLER_EVENTS)
            self._epoll.register(stream.upstream, select.EPOLLIN)
            self._stream_by_fd[stream.caller.fileno()] = stream
            self._stream_by_fd[stream.upstream.fileno()] = stream
            self._set_wait(stream, waits_for)

    def _run(self) -> None:
        last_sweep_s = time.monotonic()
        while not self._kernel.stopping.is_set():
            self._handle_ready(self._epoll.poll(SWEEP_INTERVAL_S))
            now_s = time.monotonic()
            if now_s - last_sweep_s >= SWEEP_INTERVAL_S:
                last_sweep_s = now_s
                self._sweep(now_s)
        with self._lock:
            for stream in tuple(self._task_by_stream):
                self._finish(stream, UpstreamCutError('the daemon stopped'))

    def _handle_ready(self, ready: list[tuple[int, int]]) -> None:
        # A file descriptor closed during this batch may already be reused by
        # a new connection. Later events of the batch do not belong to it.
        self._closed_fds.clear()
        for fd, events in ready:
            with self._lock:
                self._resume(fd, events)

    def _resume(self, fd: int, events: int) -> None:
        stream = self._stream_by_fd.get(fd)
        if stream is None or fd in self._closed_fds:
            return
        if events & DISCONNECT_EVENTS and fd == stream.caller.fileno():
            self._finish(
                stream, CallerDisconnectedError('caller closed the connection')
            )
            return
        try:
            waits_for = next(self._task_by_stream[stream])
        except StopIteration:
            self._finish(stream, None)
        except StreamError as error:
            self._finish(stream, error)
        else:
            self._set_wait(stream, waits_for)

    def _set_wait(self, stream: RelayedStream, waits_for: WaitFor) -> None:
        if waits_for is stream.waits_for:
            return
        stream.waits_for = waits_for
        # epoll reports a hangup even for a socket registered without events,
        # so the upstream is unregistered while the caller's socket is full.
        if waits_for is WaitFor.CALLER:
            self._epoll.unregister(stream.upstream)
            self._epoll.modify(stream.caller, CALLER_EVENTS | select.EPOLLOUT)
        else:
            self._epoll.modify(stream.caller, CALLER_EVENTS)
            self._epoll.register(stream.upstream, select.EPOLLIN)

    def _sweep(self, now_s: float) -> None:
        with self._lock:
            for stream in tuple(self._task_by_stream):
                failure = _timeout_failure(stream, now_s)
                if failure is not None:
                    self._finish(stream, failure)

    def _finish(
        self, stream: RelayedStream, failure: StreamError | None
    ) -> None:
        if stream.waits_for is WaitFor.UPSTREAM:
            self._epoll.unregister(stream.upstream)
        self._epoll.unregister(stream.caller)
        for endpoint in (stream.upstream, stream.caller):
            self._stream_by_fd.pop(endpoint.fileno(), None)
            self._closed_fds.add(endpoint.fileno())
        self._task_by_stream.pop(stream).close()
        stream.failure = failure
        stream.ended.set()


def _timeout_failure(stream: RelayedStream, now_s: float) -> StreamError | None:
    idle_s = now_s - stream.last_progress_s
    if stream.waits_for is WaitFor.CALLER:
        if idle_s > CALLER_STALL_TIMEOUT_S:
            return CallerDisconnectedError('caller reads nothing')
        return None
    if idle_s > stream.no_progress_s:
        return UpstreamStalledError('upstream sends nothing')
    return None
