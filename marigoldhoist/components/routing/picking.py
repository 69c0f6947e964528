"""Pick replicas from this daemon's subset of those that are usable."""

import dataclasses
import random
from collections.abc import Container, Sequence

from marigoldhoist.components.routing.const import DEFAULT_SERVICE_TIME_S
from marigoldhoist.components.routing.loads import LoadContext, replica_views
from marigoldhoist.components.routing.replicas import (
    PickContext,
    pick_replica,
)
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


class ReplicaPicker:
    """Keeps the subset of each name while the usable replicas stay."""

    def __init__(
        self, daemon: DaemonSettings, upstreams: UpstreamService
    ) -> None:
        self._host = daemon.host
        self._context = PickContext(daemon.failure_domain, random.Random())
        self._upstreams = upstreams
        self._subset_by_serving: dict[str, KnownSubset] = {}

    def pick(self, serving: str, tried: Container[str]) -> Replica | None:
        """Pick a replica that was not tried, none where there is none."""
        replicas = [
            replica
            for replica in self.subset(serving)
            if replica.host not in tried
        ]
        load = LoadContext(SYSTEM_CLOCK.monotonic_s(), DEFAULT_SERVICE_TIME_S)
        views = replica_views(replicas, load)
        picked = pick_replica(views, self._context)
        if picked is None:
            return None
        return next(one for one in replicas if one.host == picked.host)

    def subset(self, serving: str) -> list[Replica]:
        """Return the daemon's replicas of a name; they are polled now on."""
        usable = self._upstreams.replicas_serving(serving)
        known = self._subset_by_serving.get(serving)
        if known is None or known.usable != usable:
            known = KnownSubset(usable, self._ranked(usable))
            self._subset_by_serving[serving] = known
        now_s = SYSTEM_CLOCK.monotonic_s()
        for replica in known.chosen:
            replica.wanted_s = now_s
        return known.chosen

    def _ranked(self, usable: Sequence[Replica]) -> list[Replica]:
        return replica_subset(usable, self._host, self._context.failure_domain)
