"""A client that opens many streams in one thread and times every token."""

import dataclasses
import select
import socket
import statistics
import time

EVENT_START = b'data: {'
LAST_CHUNK = b'0\r\n\r\n'
RECEIVE_BYTES = 65_536
POLL_TIMEOUT_S = 0.005
TIMEOUT_S = 60.0


@dataclasses.dataclass(slots=True)
class OpenStream:
    """An open stream.

    Times are monotonic seconds; `last_token_s` is zero before the first token.
    """

    connection: socket.socket
    sent_s: float
    last_token_s: float = 0


@dataclasses.dataclass(slots=True)
class StreamStats:
    """Counts and times of a set of streams, in seconds."""

    tokens: int = 0
    complete: int = 0
    truncated: int = 0
    first_token_times_s: list[float] = dataclasses.field(default_factory=list)
    token_gaps_s: list[float] = dataclasses.field(default_factory=list)

    def first_token_ms(self, percent: int) -> float:
        """Return a percentile of the time to first token in milliseconds."""
        return percentile_ms(self.first_token_times_s, percent)

    def token_gap_ms(self, percent: int) -> float:
        """Return a percentile of the gaps between tokens in milliseconds."""
        return percentile_ms(self.token_gaps_s, percent)


def percentile_ms(times_s: list[float], percent: int) -> float:
    """Return a percentile of times in seconds, as milliseconds."""
    return statistics.quantiles(times_s, n=100)[percent - 1] * 1000


class Receiver:
    """Opens streams at a constant rate and reads them to their end."""

    def __init__(self, address: str, port: int, request: bytes) -> None:
        self._address = (address, port)
        self._request = request
        self._epoll = select.epoll()
        self._stream_by_fd: dict[int, OpenStream] = {}
        self.stats = StreamStats()

    def run(self, streams: int, starts_per_s: float) -> StreamStats:
        """Run until all streams ended or the time is out; return statistics."""
        started_s = time.monotonic()
        opened = 0
        while opened < streams or self._stream_by_fd:
            now_s = time.monotonic()
            due = min(streams, int((now_s - started_s) * starts_per_s) + 1)
            if opened < due:
                self._open()
                opened += 1
            self._read_ready()
            if now_s - started_s > TIMEOUT_S:
                break
        return self.stats

    def _open(self) -> None:
        connection = socket.create_connection(self._address)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = OpenStream(connection, time.monotonic())
        connection.sendall(self._request)
        connection.setblocking(False)
        self._stream_by_fd[connection.fileno()] = stream
        self._epoll.register(connection, select.EPOLLIN)

    def _read_ready(self) -> None:
        for fd, _ in self._epoll.poll(POLL_TIMEOUT_S):
            self._read(fd, self._stream_by_fd[fd])

    def _read(self, fd: int, stream: OpenStream) -> None:
        try:
            content = stream.connection.recv(RECEIVE_BYTES)
        except OSError:
            content = b''
        now_s = time.monotonic()
        for _ in range(content.count(EVENT_START)):
            self._count_token(stream, now_s)
        is_complete = content.endswith(LAST_CHUNK)
        if content and not is_complete:
            return
        self.stats.complete += is_complete
        self.stats.truncated += not is_complete
        self._epoll.unregister(fd)
        self._stream_by_fd.pop(fd).connection.close()

    def _count_token(self, stream: OpenStream, now_s: float) -> None:
        self.stats.tokens += 1
        if stream.last_token_s:
            self.stats.token_gaps_s.append(now_s - stream.last_token_s)
        else:
            self.stats.first_token_times_s.append(now_s - stream.sent_s)
        stream.last_token_s = now_s
