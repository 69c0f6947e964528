"""TCP proxy that can stop forwarding on its open connections."""

import contextlib
import socket
import threading
from typing import Final

BUFFER_BYTES: Final = 65_536


class SilentProxy:
    """Forwards connections; muted ones stay open but drop all data."""

    def __init__(self, address: str, port: int, target: str) -> None:
        self._target = (target, port)
        self._listener = socket.create_server((address, port))
        self._mute_events: list[threading.Event] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def accepted(self) -> int:
        """Return the number of accepted connections."""
        return len(self._mute_events)

    def mute(self) -> None:
        """Mute every open connection; new connections work."""
        for muted in tuple(self._mute_events):
            muted.set()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            for client, _ in iter(self._listener.accept, None):
                server = socket.create_connection(self._target)
                muted = threading.Event()
                self._mute_events.append(muted)
                self._start(client, server, muted)
                self._start(server, client, muted)

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
