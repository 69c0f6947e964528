"""The routing service."""

import random
from collections.abc import Container
from typing import Protocol

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


class SessionVersions(Protocol):
    """Keeps sessions on their versions."""

    def choose(self, request: CallerRequest) -> Result[str, RequestFailure]:
        """Return the version of the request's session."""

    def token_of(self, request: CallerRequest) -> str:
        """Return the token of the request's session, empty for none."""


class RoutingService(BaseService):
    """Chooses versions by the table and replicas by load."""

    def __init__(self, kernel: Kernel) -> None:
        daemon = kernel.settings.section(DaemonSettings)
        self._host = daemon.host
        self._picking = PickContext(daemon.failure_domain, random.Random())
        self._table = kernel.find(TABLE, TableService)
        self._upstreams = kernel.find(UPSTREAMS, UpstreamService)
        self._sessions: SessionVersions | None = None

    def pin_sessions(self, sessions: SessionVersions) -> None:
        """Let sessions decide for the requests that name one."""
        self._sessions = sessions

    def session_token(self, request: CallerRequest) -> str:
        """Return the token that pins the request's session, or none."""
        return self._sessions.token_of(request) if self._sessions else ''

    def choose_version(
        self, request: CallerRequest
    ) -> Result[str, RequestFailure]:
        """Choose a version; the same session or request gets the same one."""
        if request.session and self._sessions:
            return self._sessions.choose(request)
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
        replicas = replica_subset(
            self._upstreams.replicas_serving(serving),
            self._host,
            self._picking.failure_domain,
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

    def _pick(self, replicas: list[Replica]) -> Replica | None:
        context = LoadContext(
            now_s=SYSTEM_CLOCK.monotonic_s(),
            service_time_s=DEFAULT_SERVICE_TIME_S,
        )
        views = replica_views(replicas, context)
        picked = pick_replica(views, self._picking)
        if picked is None:
            return None
        return next(one for one in replicas if one.host == picked.host)
