"""The platform's host list, which lags."""

import threading
import time

import msgspec

from marigoldhoist.components.hosts.models import HostEntry, HostList
from tools.standins.web import WebReply, WebRequest, WebServer, json_reply


class HostStore:
    """Hosts as they are, and as they were a lag ago."""

    def __init__(self, lag_s: float = 0) -> None:
        self.lag_s = lag_s
        self._lock = threading.Lock()
        self._versions: list[tuple[float, tuple[HostEntry, ...]]] = [(0, ())]

    def set(self, hosts: tuple[HostEntry, ...]) -> None:
        """Replace the list; readers see it after the lag."""
        with self._lock:
            self._versions.append((time.monotonic(), hosts))

    def seen(self) -> HostList:
        """Return the list as readers see it now."""
        horizon_s = time.monotonic() - self.lag_s
        with self._lock:
            hosts = [
                hosts for since, hosts in self._versions if since <= horizon_s
            ]
        return HostList(hosts[-1])


class HostServer:
    """Serves a host store over HTTP."""

    def __init__(self, address: str, port: int, lag_s: float = 0) -> None:
        self.store = HostStore(lag_s)
        self.is_down = False
        self.server = WebServer(address, port, self.handle, threads=32)

    def handle(self, request: WebRequest) -> WebReply:
        """Answer one request."""
        if request.method == 'POST':
            listed = msgspec.json.decode(request.body, type=HostList)
            self.store.set(listed.hosts)
            return json_reply(listed)
        if self.is_down:
            return json_reply({'error': 'down'}, 503)
        return json_reply(self.store.seen())
