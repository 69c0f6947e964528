"""Upstream that sends scripted bytes over real sockets."""

import contextlib
import socket
import threading
from collections.abc import Iterator

from marigoldhoist.components.hosts.models import HostEntry, HostRole
from marigoldhoist.components.upstreams.const import COMPONENT as UPSTREAMS
from marigoldhoist.components.upstreams.service import UpstreamService
from tools.world.addresses import next_address
from tools.world.world import World, wait_until

PORT = 7450
SMALL = 'pult-model/small'
LARGE = 'pult-model/large'
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


def chunk(content: bytes) -> bytes:
    """Encode content as one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(content), content)


def token_event(number: int) -> bytes:
    """Return a server-sent event whose content is 'w' and the number."""
    return b'data: {"choices":[{"delta":{"content":"w%d"}}]}\n\n' % number


DONE_EVENT = b'data: [DONE]\n\n'
LAST_CHUNK = b'0\r\n\r\n'


class ScriptedUpstream:
    """Sends the next script for each request and counts connections.

    The piece b'cut' shuts the connection down. The piece b'silent' sends
    nothing until the peer closes the connection, which sets `closed_by_peer`,
    until the peer sends a byte, or for 5 s.
    """

    def __init__(self, *scripts: tuple[bytes, ...]) -> None:
        self.address = next_address()
        self.connections = 0
        self.closed_by_peer = threading.Event()
        self._scripts = list(scripts)
        self._listener = socket.create_server((self.address, PORT))

    def accept_all(self) -> None:
        """Serve each connection on its own thread until `close()`."""
        with contextlib.suppress(OSError):
            for connection, _ in iter(self._listener.accept, None):
                self.connections += 1
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _serve(self, connection: socket.socket) -> None:
        connection.settimeout(5)
        with connection, contextlib.suppress(OSError):
            while self._scripts and _read_request(connection):
                self._send(connection, self._scripts.pop(0))

    def _send(
        self, connection: socket.socket, script: tuple[bytes, ...]
    ) -> None:
        for piece in script:
            if piece == b'cut':
                connection.shutdown(socket.SHUT_RDWR)
            elif piece == b'silent':
                if not connection.recv(1):
                    self.closed_by_peer.set()
            else:
                connection.sendall(piece)


def _read_request(connection: socket.socket) -> bool:
    with connection.makefile('rb') as reader:
        length = 0
        for line in iter(reader.readline, b'\r\n'):
            if not line:
                return False
            if line.lower().startswith(b'content-length:'):
                length = int(line.partition(b':')[2])
        return len(reader.read(length)) == length


@contextlib.contextmanager
def run_scripted_upstream(
    *scripts: tuple[bytes, ...],
) -> Iterator[ScriptedUpstream]:
    """Run a scripted upstream in the background."""
    upstream = ScriptedUpstream(*scripts)
    thread = threading.Thread(target=upstream.accept_all, daemon=True)
    thread.start()
    try:
        yield upstream
    finally:
        upstream.close()


def use_scripted_engine(world: World, upstream: ScriptedUpstream) -> None:
    """Register the scripted upstream as the only engine.

    It waits until the daemon entry-1 knows no other.
    """
    kernel = world.kernels_by_host['entry-1']
    upstreams = kernel.find(UPSTREAMS, UpstreamService)
    for engine in upstreams.replicas_serving(SMALL):
        world.deregister_host(engine.host)
    name = f'engine-{upstream.address}'
    world.register_host(
        HostEntry(
            name,
            HostRole.ENGINE,
            upstream.address,
            PORT,
            'zg-trnje',
            serves=(SMALL, LARGE),
        )
    )
    wait_until(
        lambda: (
            [replica.host for replica in upstreams.replicas_serving(SMALL)]
            == [name]
        ),
        'the scripted upstream in the replica list',
    )
