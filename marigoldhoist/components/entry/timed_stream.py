"""Streams of a caller's socket whose reads end at a time."""

import io
import socket
from typing import Any

from cheroot import makefile

from marigoldhoist.core.clock import SYSTEM_CLOCK


class TimedSocketIO(socket.SocketIO):
    """Reads from a socket until a time that is set.

    The timeout of the socket alone begins anew with each byte.
    """

    def __init__(self, caller_socket: socket.socket) -> None:
        super().__init__(caller_socket, 'rb')
        self._caller_socket = caller_socket
        self._timeout_s = caller_socket.gettimeout()
        self._end_s: float | None = None

    def allow(self, time_s: float | None) -> None:
        """Allow reads for a time, or without an end for None."""
        self._end_s = None
        if time_s is None:
            self._caller_socket.settimeout(self._timeout_s)
        else:
            self._end_s = SYSTEM_CLOCK.monotonic_s() + time_s

    def readinto(self, buffer: Any) -> int | None:
        """Read into a buffer; raise TimeoutError at the end of the time."""
        if self._end_s is not None:
            left_s = self._end_s - SYSTEM_CLOCK.monotonic_s()
            if left_s <= 0:
                raise TimeoutError('timed out')
            timeout_s = self._timeout_s or left_s
            self._caller_socket.settimeout(min(timeout_s, left_s))
        return super().readinto(buffer)


class TimedStreamReader(makefile.StreamReader):
    """The stream reader of cheroot, which it asks for its own counts."""

    def __init__(self, caller_socket: socket.socket, buffer_bytes: int) -> None:
        # The constructor of StreamReader creates a socket stream of its own.
        makefile.io.BufferedReader.__init__(  # type: ignore[attr-defined]
            self, TimedSocketIO(caller_socket), buffer_bytes
        )
        self.bytes_read = 0


def make_stream(
    caller_socket: socket.socket,
    mode: str = 'r',
    buffer_bytes: int = io.DEFAULT_BUFFER_SIZE,
) -> io.BufferedIOBase:
    """Return a stream for a socket; those for reading are timed."""
    if 'r' in mode:
        return TimedStreamReader(caller_socket, buffer_bytes)
    stream: io.BufferedIOBase = makefile.MakeFile(
        caller_socket, mode, buffer_bytes
    )
    return stream
