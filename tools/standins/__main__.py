"""Run one stand-in: `python -m tools.standins KIND ADDRESS PORT`."""

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
    """Serve until told to stop."""
    standin = server_by_kind[kind](address, int(port))
    told_to_stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: told_to_stop.set())
    signal.signal(signal.SIGINT, lambda *_: told_to_stop.set())
    standin.server.start()
    told_to_stop.wait()
    standin.server.stop()


main(*sys.argv[1:])
