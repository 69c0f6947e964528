"""Client-side load balancing over the daemons."""

import random
import threading

from marigoldhoist.components.hosts.models import HostEntry
from tools.demo.const import ENTRY_PORT
from tools.world.caller import Caller


class Balancer:
    """Picks daemons at random; removed daemons are no longer picked."""

    def __init__(self, daemons: tuple[HostEntry, ...], seed: int) -> None:
        self._lock = threading.Lock()
        self._rng = random.Random(seed)
        self._address_by_host = {
            daemon.host: daemon.address for daemon in daemons
        }

    @property
    def hosts(self) -> tuple[str, ...]:
        """Return the hosts of the daemons in use."""
        with self._lock:
            return tuple(self._address_by_host)

    def pick(self, count: int = 1) -> list[str]:
        """Return the hosts of `count` distinct daemons."""
        with self._lock:
            return self._rng.sample(sorted(self._address_by_host), count)

    def remove(self, host: str) -> None:
        """Remove a daemon from use."""
        with self._lock:
            self._address_by_host.pop(host, None)

    def address_of(self, host: str) -> str | None:
        """Return a daemon's address, or None if it was removed."""
        with self._lock:
            return self._address_by_host.get(host)


class CallerPool:
    """One thread's callers, cached by daemon address and workspace key."""

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer
        self._caller_by_route: dict[tuple[str, str], Caller] = {}

    def caller(self, host: str, key: str) -> Caller | None:
        """Return a caller of a daemon, or None if the daemon was removed."""
        address = self._balancer.address_of(host)
        if address is None:
            return None
        route = (address, key)
        if route not in self._caller_by_route:
            self._caller_by_route[route] = Caller(address, key, ENTRY_PORT)
        return self._caller_by_route[route]
