"""The routing service."""

import dataclasses
import random
from collections.abc import Container

from result import Err, Ok, Result

from marigoldhoist.components.routing.const import DEFAULT_SERVICE_TIME_S
from marigoldhoist.components.routing.loads import LoadContext, replica_views
from marigoldhoist.components.routing.replicas import (
    PickContext,
    pick_replica,
)
from marigoldhoist.components.routing.subsets import replica_subset
from marigoldhoist.components.routing.versions import (
    pick_by_weight,
    usable_weights,
)
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from marigoldhoist.components.upstreams.const import COMPONENT as UPSTREAMS
from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.components.upstreams.service import UpstreamService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel


@dataclasses.dataclass(frozen=True, slots=True)
class KnownSubset:
    """The usable replicas of a name and the subset chosen of them."""

    usable: tuple[Replica, ...]
    chosen: list[Replica]


class RoutingService(BaseService):
    """Chooses versions by the table and replicas by load."""

    def __init__(self, kernel: Kernel) -> None:
        daemon = kernel.settings.section(DaemonSettings)
        self._host = daemon.host
        self._picking = PickContext(daemon.failure_domain, random.Random())
        self._subset_by_serving: dict[str, KnownSubset] = {}
        self._table = kernel.find(TABLE, TableService)
        self._upstreams = kernel.find(UPSTREAMS, UpstreamService)

    def choose_version(
        self, request: CallerRequest
    ) -> Result[str, RequestFailure]:
        """Choose a version; the same session or request gets the same one."""
        model = request.target
        weights = usable_weights(self._table.state, request.workspace, model)
        if not weights:
            return Err(
                RequestFailure(
                    ErrorCode.NO_VERSION, f'no version of {model} takes work'
                )
            )
        key = request.session or request.request_id
        return Ok(pick_by_weight(weights, key))

    def choose_replica(
        self, serving: str, tried: Container[str] = ()
    ) -> Result[Replica, RequestFailure]:
        """Choose a replica that serves the name and was not tried yet."""
        replicas = self._subset(
            serving, self._upstreams.replicas_serving(serving)
        )
        replica = self._pick(
            [replica for replica in replicas if replica.host not in tried]
        )
        if replica is None:
            return Err(
                RequestFailure(
                    ErrorCode.NO_REPLICA,
                    f'no replica serves {serving}',
                    retry_after_s=1,
                )
            )
        return Ok(replica)

    def _subset(
        self, serving: str, usable: tuple[Replica, ...]
    ) -> list[Replica]:
        """Return the daemon's subset, ranked anew only on a change."""
        known = self._subset_by_serving.get(serving)
        if known is not None and known.usable == usable:
            return known.chosen
        chosen = replica_subset(
            usable, self._host, self._picking.failure_domain
        )
        self._subset_by_serving[serving] = KnownSubset(usable, chosen)
        return chosen

    def _pick(self, replicas: list[Replica]) -> Replica | None:
        now_s = SYSTEM_CLOCK.monotonic_s()
        for replica in replicas:
            replica.wanted_s = now_s
        context = LoadContext(
            now_s=now_s,
            service_time_s=DEFAULT_SERVICE_TIME_S,
        )
        views = replica_views(replicas, context)
        picked = pick_replica(views, self._picking)
        if picked is None:
            return None
        return next(one for one in replicas if one.host == picked.host)
