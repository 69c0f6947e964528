"""Fake host list of the platform, with a replication lag."""

import threading
import time

import msgspec

from marigoldhoist.components.hosts.models import HostEntry, HostList
from tools.standins.web import WebReply, WebRequest, WebServer, json_reply


class HostStore:
    """Versions of the host list; readers see changes after `lag_s`."""

    def __init__(self, lag_s: float = 0) -> None:
        self.lag_s = lag_s
        self._lock = threading.Lock()
        self._versions: list[tuple[float, tuple[HostEntry, ...]]] = [(0, ())]

    def set(self, hosts: tuple[HostEntry, ...]) -> None:
        """Replace the list; readers see it after `lag_s`."""
        with self._lock:
            self._versions.append((time.monotonic(), hosts))

    def visible_list(self) -> HostList:
        """Return the newest list that is at least `lag_s` old."""
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
        """Handle one HTTP request."""
        if request.method == 'POST':
            host_list = msgspec.json.decode(request.body, type=HostList)
            self.store.set(host_list.hosts)
            return json_reply(host_list)
        if self.is_down:
            return json_reply({'error': 'down'}, 503)
        return json_reply(self.store.visible_list())
