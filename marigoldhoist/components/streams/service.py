"""Run the tasks of all streams on one thread, each when it can go on."""

import select
import sys
import threading
import time

from marigoldhoist.components.streams.const import (
    CALLER_STALL_S,
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
GONE = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class StreamService(BaseService):
    """Copies streams; the thread that asks waits until its stream ended."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._ended_fds: set[int] = set()
        self._stream_by_fd: dict[int, RelayedStream] = {}
        self._task_by_stream: dict[RelayedStream, StreamTask] = {}

    def start(self) -> None:
        """Begin to run streams."""
        # Between two tokens this thread must get the interpreter back from
        # threads that compute; the default interval lets each keep it 5 ms.
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self._kernel.spawn('streams', self._run)

    def status(self) -> StreamStatus:
        """Return what operators see of the streams."""
        return StreamStatus(len(self._task_by_stream))

    def relay(self, stream: RelayedStream) -> None:
        """Copy the stream to its end; its failure says what broke it."""
        upstream_timeout_s = stream.upstream.gettimeout()
        caller_timeout_s = stream.caller.gettimeout()
        stream.upstream.setblocking(False)
        stream.caller.setblocking(False)
        self._begin(stream)
        stream.ended.wait()
        if isinstance(stream.failure, UpstreamCutError | UpstreamStalledError):
            emit(STREAM_CUT, reason=str(stream.failure), tokens=stream.tokens)
        stream.upstream.settimeout(upstream_timeout_s)
        stream.caller.settimeout(caller_timeout_s)

    def _begin(self, stream: RelayedStream) -> None:
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
            self._wait(stream, waits_for)

    def _run(self) -> None:
        sweep_s = time.monotonic()
        while not self._kernel.stopping.is_set():
            self._go_on(self._epoll.poll(SWEEP_INTERVAL_S))
            now_s = time.monotonic()
            if now_s - sweep_s >= SWEEP_INTERVAL_S:
                sweep_s = now_s
                self._sweep(now_s)
        with self._lock:
            for stream in tuple(self._task_by_stream):
                self._end(stream, UpstreamCutError('the daemon stopped'))

    def _go_on(self, ready: list[tuple[int, int]]) -> None:
        # An fd that was closed in this batch may already belong to a new
        # connection, which the batch's later events don't concern.
        self._ended_fds.clear()
        for fd, events in ready:
            with self._lock:
                self._on_ready(fd, events)

    def _on_ready(self, fd: int, events: int) -> None:
        stream = self._stream_by_fd.get(fd)
        if stream is None or fd in self._ended_fds:
            return
        if events & GONE and fd == stream.caller.fileno():
            self._end(
                stream, CallerDisconnectedError('caller closed the connection')
            )
            return
        try:
            waits_for = next(self._task_by_stream[stream])
        except StopIteration:
            self._end(stream, None)
        except StreamError as error:
            self._end(stream, error)
        else:
            self._wait(stream, waits_for)

    def _wait(self, stream: RelayedStream, waits_for: WaitFor) -> None:
        if waits_for is stream.waits_for:
            return
        stream.waits_for = waits_for
        # A registered socket reports that it was closed even where no event
        # is asked for, so the upstream is taken out while the caller is slow.
        if waits_for is WaitFor.CALLER:
            self._epoll.unregister(stream.upstream)
            self._epoll.modify(stream.caller, CALLER_EVENTS | select.EPOLLOUT)
        else:
            self._epoll.modify(stream.caller, CALLER_EVENTS)
            self._epoll.register(stream.upstream, select.EPOLLIN)

    def _sweep(self, now_s: float) -> None:
        with self._lock:
            for stream in tuple(self._task_by_stream):
                failure = _overdue(stream, now_s)
                if failure is not None:
                    self._end(stream, failure)

    def _end(self, stream: RelayedStream, failure: StreamError | None) -> None:
        if stream.waits_for is WaitFor.UPSTREAM:
            self._epoll.unregister(stream.upstream)
        self._epoll.unregister(stream.caller)
        for end in (stream.upstream, stream.caller):
            self._stream_by_fd.pop(end.fileno(), None)
            self._ended_fds.add(end.fileno())
        self._task_by_stream.pop(stream).close()
        stream.failure = failure
        stream.ended.set()


def _overdue(stream: RelayedStream, now_s: float) -> StreamError | None:
    silent_s = now_s - stream.progress_s
    if stream.waits_for is WaitFor.CALLER:
        if silent_s > CALLER_STALL_S:
            return CallerDisconnectedError('caller reads nothing')
        return None
    if silent_s > stream.no_progress_s:
        return UpstreamStalledError('upstream sends nothing')
    return None
