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
class KnownSubset:
    """The usable replicas of a name and the subset chosen of them."""

    usable: tuple[Replica, ...]
    chosen: list[Replica]


class ReplicaChooser:
    """Picks replicas of the daemon's subset by load."""

    def __init__(
        self, daemon: DaemonSettings, upstreams: UpstreamService
    ) -> None:
        self._daemon = daemon
        self._upstreams = upstreams
        self._picking = PickContext(daemon.failure_domain, random.Random())
        self._subset_by_serving: dict[str, KnownSubset] = {}

    def subset(self, serving: str) -> list[Replica]:
        """Return the daemon's replicas of a name; their loads get polled."""
        usable = self._upstreams.replicas_serving(serving)
        known = self._subset_by_serving.get(serving)
        if known is None or known.usable != usable:
            known = KnownSubset(usable, self._ranked(usable))
            self._subset_by_serving[serving] = known
        now_s = SYSTEM_CLOCK.monotonic_s()
        for replica in known.chosen:
            replica.wanted_s = now_s
        return known.chosen

    def _ranked(self, usable: tuple[Replica, ...]) -> list[Replica]:
        return replica_subset(
            usable, self._daemon.host, self._daemon.failure_domain
        )

    def pick(self, serving: str, tried: Container[str]) -> Replica | None:
        """Return a replica that was not tried, none where none is left."""
        replicas = [
            replica
            for replica in self.subset(serving)
            if replica.host not in tried
        ]
        picked = pick_replica(_views(replicas), self._picking)
        if picked is None:
            return None
        return next(one for one in replicas if one.host == picked.host)


def _views(replicas: list[Replica]) -> list[ReplicaView]:
    context = LoadContext(
        now_s=SYSTEM_CLOCK.monotonic_s(),
        service_time_s=DEFAULT_SERVICE_TIME_S,
    )
    return replica_views(replicas, context)
