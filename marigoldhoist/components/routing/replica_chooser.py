"""Choose among the replicas that serve a name."""

import dataclasses
import random
from collections.abc import Container

from marigoldhoist.components.placement.loads import LoadContext, replica_views
from marigoldhoist.components.placement.replicas import (
    PickContext,
    ReplicaView,
    pick_replica,
)
from marigoldhoist.components.routing.const import DEFAULT_SERVICE_TIME_S
from marigoldhoist.components.routing.subsets import replica_subset
from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.components.upstreams.service import UpstreamService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.identity import DaemonSettings


@dataclasses.dataclass(frozen=True, slots=True)
class CachedSubset:
    """The usable replicas of a name and the subset selected from them."""

    usable: tuple[Replica, ...]
    subset: list[Replica]


class ReplicaChooser:
    """Picks replicas from the daemon's subset by load."""

    def __init__(
        self, daemon: DaemonSettings, upstreams: UpstreamService
    ) -> None:
        self._daemon = daemon
        self._upstreams = upstreams
        self._pick_context = PickContext(daemon.failure_domain, random.Random())
        self._cached_by_serving: dict[str, CachedSubset] = {}

    def subset(self, serving: str) -> list[Replica]:
        """Return the daemon's subset of the replicas that serve a name.

        Marks the replicas as considered, so that their loads are polled.
        """
        usable = self._upstreams.replicas_serving(serving)
        cached = self._cached_by_serving.get(serving)
        if cached is None or cached.usable != usable:
            cached = CachedSubset(usable, self._new_subset(usable))
            self._cached_by_serving[serving] = cached
        now_s = SYSTEM_CLOCK.monotonic_s()
        for replica in cached.subset:
            replica.last_considered_s = now_s
        return cached.subset

    def _new_subset(self, usable: tuple[Replica, ...]) -> list[Replica]:
        return replica_subset(
            usable, self._daemon.host, self._daemon.failure_domain
        )

    def pick(self, serving: str, tried: Container[str]) -> Replica | None:
        """Return an untried replica, or None if all have been tried."""
        replicas = [
            replica
            for replica in self.subset(serving)
            if replica.host not in tried
        ]
        picked = pick_replica(_views(replicas), self._pick_context)
        if picked is None:
            return None
        return next(
            replica for replica in replicas if replica.host == picked.host
        )


def _views(replicas: list[Replica]) -> list[ReplicaView]:
    context = LoadContext(
        now_s=SYSTEM_CLOCK.monotonic_s(),
        service_time_s=DEFAULT_SERVICE_TIME_S,
    )
    return replica_views(replicas, context)
