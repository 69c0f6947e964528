"""A server that answers before an upload has come, and ends."""

import contextlib
import socket
import struct
import threading
from collections.abc import Iterator
from typing import Final

HEAD_END: Final = b'\r\n\r\n'
RECEIVE_BYTES: Final = 65_536
# Closing with this option resets the connection.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
PART: Final = b'a part of the answer'


class EarlyServer:
    """Answers without a length after it has read a part of an upload.

    It resets the connection, or closes it with unread input.
    """

    def __init__(
        self,
        listener: socket.socket,
        status: str,
        read_bytes: int,
        *,
        resets: bool,
    ) -> None:
        self._listener = listener
        self._status = status
        self._read_bytes = read_bytes
        self._resets = resets

    def accept_all(self) -> None:
        """Serve each connection until the listener is closed."""
        with contextlib.suppress(OSError):
            for connection, _ in iter(self._listener.accept, None):
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.settimeout(10)
        with connection, contextlib.suppress(OSError):
            received = connection.recv(RECEIVE_BYTES)
            while received and HEAD_END not in received:
                received += connection.recv(RECEIVE_BYTES)
            read_bytes = 0
            while received and read_bytes < self._read_bytes:
                read_bytes += len(connection.recv(RECEIVE_BYTES))
            head = f'HTTP/1.1 {self._status} Status\r\n\r\n'.encode()
            connection.sendall(head + PART)
            if self._resets:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )


@contextlib.contextmanager
def run_early_server(
    address: str,
    port: int,
    status: str = '200',
    read_bytes: int = 0,
    *,
    resets: bool = True,
) -> Iterator[int]:
    """Run a server in the background and provide its port."""
    with socket.create_server((address, port)) as listener:
        server = EarlyServer(listener, status, read_bytes, resets=resets)
        threading.Thread(target=server.accept_all, daemon=True).start()
        yield listener.getsockname()[1]
        listener.shutdown(socket.SHUT_RDWR)
