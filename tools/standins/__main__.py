"""Run one fake server: `python -m tools.standins KIND ADDRESS PORT`."""

import signal
import sys
import threading

from tools.standins.engine import EngineServer
from tools.standins.hosts import HostServer
from tools.standins.log import LogServer
from tools.standins.plain import PlainServer
from tools.standins.rating import RatingServer

server_by_kind = {
    'log': LogServer,
    'hosts': HostServer,
    'engine': EngineServer,
    'plain': PlainServer,
    'rating': RatingServer,
}


def main(kind: str, address: str, port: str) -> None:
    """Serve until SIGTERM or SIGINT."""
    fake = server_by_kind[kind](address, int(port))
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    signal.signal(signal.SIGINT, lambda *_: stopping.set())
    fake.server.start()
    stopping.wait()
    fake.server.stop()


main(*sys.argv[1:])
