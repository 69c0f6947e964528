"""Outlier ejection of failed replicas, and drain of leaving ones.

A replica is ejected only after a new connection to it failed. If more than
MAX_EJECTED_SHARE of the replicas of one name are ejected, the fault is more
likely between this daemon and the replicas, so all of them stay in use.
"""

import dataclasses

from marigoldhoist.components.upstreams.const import (
    BASE_EJECTION_S,
    LEAVING_NOTICE_TTL_S,
    MAX_EJECTED_SHARE,
    MAX_EJECTION_S,
)
from marigoldhoist.components.upstreams.models import Replica


@dataclasses.dataclass(frozen=True, slots=True)
class Ejection:
    """End (monotonic clock) and duration of an ejection, in seconds."""

    until_s: float
    duration_s: float


class EjectionTracker:
    """Tracks ejected replicas and those that announced that they leave."""

    def __init__(self) -> None:
        self._ejection_by_host: dict[str, Ejection] = {}
        self._leaving_since_s_by_host: dict[str, float] = {}

    def eject(self, host: str, now_s: float) -> None:
        """Eject a replica; the duration doubles until it is readmitted."""
        last = self._ejection_by_host.get(host)
        if last is not None and now_s < last.until_s:
            return
        duration_s = min(last.duration_s * 2, MAX_EJECTION_S) if last else 0
        duration_s = duration_s or BASE_EJECTION_S
        self._ejection_by_host[host] = Ejection(now_s + duration_s, duration_s)

    def readmit(self, host: str) -> None:
        """Clear a replica's ejection and backoff after it answered."""
        self._ejection_by_host.pop(host, None)

    def note_leaving(self, host: str, now_s: float) -> None:
        """Record that a replica announced that it is leaving."""
        self._leaving_since_s_by_host[host] = now_s

    def is_leaving(self, host: str, now_s: float) -> bool:
        """Return whether a replica's leaving notice is still valid."""
        leaving_since_s = self._leaving_since_s_by_host.get(host)
        if leaving_since_s is None:
            return False
        if now_s < leaving_since_s + LEAVING_NOTICE_TTL_S:
            return True
        self._leaving_since_s_by_host.pop(host, None)
        return False

    def is_ejected(self, host: str, now_s: float) -> bool:
        """Return whether a replica is ejected at this time."""
        ejection = self._ejection_by_host.get(host)
        return ejection is not None and now_s < ejection.until_s

    def usable(
        self, replicas: tuple[Replica, ...], now_s: float
    ) -> tuple[Replica, ...]:
        """Return the replicas of one name that may receive requests."""
        if not self._ejection_by_host and not self._leaving_since_s_by_host:
            return replicas
        available = tuple(
            replica
            for replica in replicas
            if not self.is_leaving(replica.host, now_s)
        )
        healthy = tuple(
            replica
            for replica in available
            if not self.is_ejected(replica.host, now_s)
        )
        ejected_count = len(available) - len(healthy)
        if ejected_count > len(available) * MAX_EJECTED_SHARE:
            return available
        return healthy
