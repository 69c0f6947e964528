"""A TCP proxy whose open connections can go silent for good."""

import contextlib
import socket
import threading
from typing import Final

BUFFER_BYTES: Final = 65_536


class SilentProxy:
    """Forwards connections; a muted one stays open and passes nothing."""

    def __init__(self, address: str, port: int, target: str) -> None:
        self._target = (target, port)
        self._listener = socket.create_server((address, port))
        self._mutes: list[threading.Event] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def accepted(self) -> int:
        """Return how many connections were opened."""
        return len(self._mutes)

    def mute(self) -> None:
        """Make every open connection silent; new ones work."""
        for muted in tuple(self._mutes):
            muted.set()

    def close(self) -> None:
        """Stop accepting."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            for near, _ in iter(self._listener.accept, None):
                far = socket.create_connection(self._target)
                muted = threading.Event()
                self._mutes.append(muted)
                self._start(near, far, muted)
                self._start(far, near, muted)

    def _start(
        self, source: socket.socket, sink: socket.socket, muted: threading.Event
    ) -> None:
        threading.Thread(
            target=_forward, args=(source, sink, muted), daemon=True
        ).start()


def _forward(
    source: socket.socket, sink: socket.socket, muted: threading.Event
) -> None:
    with contextlib.suppress(OSError):
        while content := source.recv(BUFFER_BYTES):
            if not muted.is_set():
                sink.sendall(content)
