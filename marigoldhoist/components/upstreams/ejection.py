"""Decide which replicas get no work for a while.

A replica is ejected only after a fresh connection to it failed as well. No
more than a share of the replicas of one name is ever ejected: when more fail
at once, the fault is likelier between this daemon and them, and all of them
are used again.
"""

import dataclasses

from marigoldhoist.components.upstreams.const import (
    EJECTION_S,
    LEAVING_S,
    MAX_EJECTED_SHARE,
    MAX_EJECTION_S,
)
from marigoldhoist.components.upstreams.models import Replica


@dataclasses.dataclass(frozen=True, slots=True)
class Ejection:
    """How long a replica stays out, in seconds of the monotonic clock."""

    until_s: float
    duration_s: float


class Ejections:
    """Replicas that failed, and those that said that they are leaving."""

    def __init__(self) -> None:
        self._ejection_by_host: dict[str, Ejection] = {}
        self._left_s_by_host: dict[str, float] = {}

    def eject(self, host: str, now_s: float) -> None:
        """Take a replica out, twice as long as the last time."""
        last = self._ejection_by_host.get(host)
        if last is not None and now_s < last.until_s:
            return
        duration_s = min(last.duration_s * 2, MAX_EJECTION_S) if last else 0
        duration_s = duration_s or EJECTION_S
        self._ejection_by_host[host] = Ejection(now_s + duration_s, duration_s)

    def readmit(self, host: str) -> None:
        """Forget a replica's failures; it answered."""
        self._ejection_by_host.pop(host, None)

    def note_leaving(self, host: str, now_s: float) -> None:
        """Learn from a replica itself that it is leaving."""
        self._left_s_by_host[host] = now_s

    def is_leaving(self, host: str, now_s: float) -> bool:
        """Tell whether a replica said lately that it is leaving."""
        left_s = self._left_s_by_host.get(host)
        if left_s is None:
            return False
        if now_s < left_s + LEAVING_S:
            return True
        self._left_s_by_host.pop(host, None)
        return False

    def is_ejected(self, host: str, now_s: float) -> bool:
        """Tell whether a replica is to get no work now."""
        ejection = self._ejection_by_host.get(host)
        return ejection is not None and now_s < ejection.until_s

    def usable(
        self, replicas: tuple[Replica, ...], now_s: float
    ) -> tuple[Replica, ...]:
        """Return the replicas of one name that may get work."""
        if not self._ejection_by_host and not self._left_s_by_host:
            return replicas
        staying = tuple(
            replica
            for replica in replicas
            if not self.is_leaving(replica.host, now_s)
        )
        healthy = tuple(
            replica
            for replica in staying
            if not self.is_ejected(replica.host, now_s)
        )
        ejected_count = len(staying) - len(healthy)
        if ejected_count > len(staying) * MAX_EJECTED_SHARE:
            return staying
        return healthy
