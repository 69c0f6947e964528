"""Estimate the wait for the first token from the replicas' loads."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Final

from marigoldhoist.components.routing.const import SLOTS_PER_BATCH
from marigoldhoist.components.routing.times import StageTimes
from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.core.clock import SYSTEM_CLOCK, Clock

REPLICA_CACHE_TTL_S: Final = 0.25

FindReplicas = Callable[[str], list[Replica]]


@dataclasses.dataclass(frozen=True, slots=True)
class LeastLoad:
    """The requests in flight and the slots of the least loaded replica."""

    in_flight: int
    slots: int

    def wait_s(self, times: StageTimes) -> float:
        """Return the expected seconds to the first token at the replica."""
        return times.wait_s(self.in_flight, self.slots * SLOTS_PER_BATCH)


def least_load(replicas: Iterable[Replica]) -> LeastLoad | None:
    """Return the load of the least loaded replica, None without replicas.

    The requests of other daemons are those in the replica's last load report;
    this daemon's own requests are counted at the time of the call.
    """
    replica = min(replicas, key=_utilization, default=None)
    if replica is None:
        return None
    return LeastLoad(_in_flight(replica), replica.slots)


def _utilization(replica: Replica) -> float:
    return _in_flight(replica) / replica.slots


def _in_flight(replica: Replica) -> int:
    report = replica.report
    if report is None:
        return replica.in_flight
    others = max(0, report.in_flight - report.own_in_flight)
    return replica.in_flight + others


class ReplicaCache:
    """Caches the replicas that serve a name, because finding them is costly.

    The cache is only used to estimate waits. A request that is sent looks its
    replicas up without it.
    """

    def __init__(
        self, find_replicas: FindReplicas, clock: Clock = SYSTEM_CLOCK
    ) -> None:
        self._find_replicas = find_replicas
        self._clock = clock
        self._cached_by_serving: dict[str, tuple[float, list[Replica]]] = {}

    def of(self, serving: str) -> list[Replica]:
        """Return the replicas that serve the name and take new work."""
        now_s = self._clock.monotonic_s()
        cached = self._cached_by_serving.get(serving)
        if cached is None or cached[0] < now_s:
            cached = (now_s + REPLICA_CACHE_TTL_S, self._find_replicas(serving))
            self._cached_by_serving[serving] = cached
        return [replica for replica in cached[1] if not replica.is_leaving]
