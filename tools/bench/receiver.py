"""Open many streams from one thread and time every token."""

import dataclasses
import select
import socket
import statistics
import time

EVENT = b'data: {'
LAST_CHUNK = b'0\r\n\r\n'
RECEIVE_BYTES = 65_536
POLL_S = 0.005
GIVE_UP_S = 60.0


@dataclasses.dataclass(slots=True)
class OpenStream:
    """One stream under way; times are monotonic seconds."""

    connection: socket.socket
    sent_s: float
    last_s: float = 0


@dataclasses.dataclass(slots=True)
class Received:
    """What a set of streams brought."""

    tokens: int = 0
    whole: int = 0
    broken: int = 0
    first_s: list[float] = dataclasses.field(default_factory=list)
    gaps_s: list[float] = dataclasses.field(default_factory=list)

    def first_ms(self, per_cent: int) -> float:
        """Return a percentile of the first token's time in milliseconds."""
        return percentile_ms(self.first_s, per_cent)

    def gap_ms(self, per_cent: int) -> float:
        """Return a percentile of the gaps in milliseconds."""
        return percentile_ms(self.gaps_s, per_cent)


def percentile_ms(times_s: list[float], per_cent: int) -> float:
    """Return a percentile in milliseconds."""
    return statistics.quantiles(times_s, n=100)[per_cent - 1] * 1000


class Receiver:
    """Opens streams at an even rate and reads them to their end."""

    def __init__(self, address: str, port: int, request: bytes) -> None:
        self._target = (address, port)
        self._request = request
        self._epoll = select.epoll()
        self._stream_by_fd: dict[int, OpenStream] = {}
        self.received = Received()

    def run(self, streams: int, starts_per_s: float) -> Received:
        """Return what all streams brought."""
        begun_s = time.monotonic()
        opened = 0
        while opened < streams or self._stream_by_fd:
            now_s = time.monotonic()
            due = min(streams, int((now_s - begun_s) * starts_per_s) + 1)
            if opened < due:
                self._open()
                opened += 1
            self._read_ready()
            if now_s - begun_s > GIVE_UP_S:
                break
        return self.received

    def _open(self) -> None:
        connection = socket.create_connection(self._target)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = OpenStream(connection, time.monotonic())
        connection.sendall(self._request)
        connection.setblocking(False)
        self._stream_by_fd[connection.fileno()] = stream
        self._epoll.register(connection, select.EPOLLIN)

    def _read_ready(self) -> None:
        for fd, _ in self._epoll.poll(POLL_S):
            self._read(fd, self._stream_by_fd[fd])

    def _read(self, fd: int, stream: OpenStream) -> None:
        try:
            content = stream.connection.recv(RECEIVE_BYTES)
        except OSError:
            content = b''
        now_s = time.monotonic()
        for _ in range(content.count(EVENT)):
            self._count(stream, now_s)
        is_whole = content.endswith(LAST_CHUNK)
        if content and not is_whole:
            return
        self.received.whole += is_whole
        self.received.broken += not is_whole
        self._epoll.unregister(fd)
        self._stream_by_fd.pop(fd).connection.close()

    def _count(self, stream: OpenStream, now_s: float) -> None:
        self.received.tokens += 1
        if stream.last_s:
            self.received.gaps_s.append(now_s - stream.last_s)
        else:
            self.received.first_s.append(now_s - stream.sent_s)
        stream.last_s = now_s
