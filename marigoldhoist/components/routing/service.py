"""The routing service."""

from collections.abc import Container

from result import Err, Ok, Result

from marigoldhoist.components.quality.const import COMPONENT as QUALITY
from marigoldhoist.components.quality.service import QualityService
from marigoldhoist.components.routing.const import PLAN_INTERVAL_S
from marigoldhoist.components.routing.holds import Holds
from marigoldhoist.components.routing.model_cascades import (
    ModelCascade,
    ModelCascades,
)
from marigoldhoist.components.routing.replica_chooser import ReplicaChooser
from marigoldhoist.components.routing.rules import (
    SessionVersions,
    VersionRules,
)
from marigoldhoist.components.routing.waits import ReplicaCache, least_load
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from marigoldhoist.components.upstreams.const import COMPONENT as UPSTREAMS
from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.components.upstreams.service import UpstreamService
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel


class RoutingService(BaseService):
    """Chooses versions by the table and replicas by load."""

    def __init__(self, kernel: Kernel) -> None:
        daemon = kernel.settings.section(DaemonSettings)
        upstreams = kernel.find(UPSTREAMS, UpstreamService)
        self._table = kernel.find(TABLE, TableService)
        self._kernel = kernel
        self._replica_chooser = ReplicaChooser(daemon, upstreams)
        self._replica_cache = ReplicaCache(self._replica_chooser.subset)
        self.cascades = ModelCascades()
        self.holds = Holds()
        self.rules = VersionRules(self._table, self.holds)
        kernel.find(QUALITY, QualityService).add_observer(self.cascades.observe)
        self._sessions: SessionVersions | None = None

    def ready(self) -> None:
        """Start planning cascades periodically."""
        self._kernel.spawn('cascades', self._plan)

    def set_session_versions(self, sessions: SessionVersions) -> None:
        """Set the component that chooses the versions of sessions."""
        self._sessions = sessions

    def session_token(self, request: CallerRequest) -> str:
        """Return the token of the request's session, empty without one."""
        return self._sessions.token_of(request) if self._sessions else ''

    def choose_version(
        self, request: CallerRequest
    ) -> Result[str, RequestFailure]:
        """Choose a version, always the same for one session or request."""
        if request.session and self._sessions:
            return self._sessions.choose(request)
        model = request.target
        key = request.session or request.request_id
        version = self.rules.pick(request.workspace, model, key)
        if not version:
            return Err(
                RequestFailure(
                    ErrorCode.NO_VERSION, f'no version of {model} takes work'
                )
            )
        return Ok(version)

    def cascade(self, request: CallerRequest) -> ModelCascade | None:
        """Return the cascade for a request, if any.

        A request of a session has none, as a session stays on one version.
        """
        if request.session:
            return None
        return self.cascades.of(self._table.state, request.target)

    def wait_s(self, request: CallerRequest, version: str) -> float | None:
        """Return the expected seconds to a version's first token.

        Returns None if the request may not use the version or no replica
        serves it.
        """
        state = self._table.state
        model = request.target
        workspace = state.workspace(request.workspace)
        cascade = self.cascades.of(state, model)
        if workspace is None or cascade is None:
            return None
        if self.holds.is_held(model, version):
            return None
        if not state.takes_work(model, version):
            return None
        if not workspace.allows(model, version):
            return None
        return self._expected_wait_s(f'{model}/{version}', version, cascade)

    def choose_replica(
        self, serving: str, tried: Container[str] = ()
    ) -> Result[Replica, RequestFailure]:
        """Choose an untried replica that serves the name."""
        replica = self._replica_chooser.pick(serving, tried)
        if replica is None:
            return Err(
                RequestFailure(
                    ErrorCode.NO_REPLICA,
                    f'no replica serves {serving}',
                    retry_after_s=1,
                )
            )
        return Ok(replica)

    def _expected_wait_s(
        self, serving: str, version: str, cascade: ModelCascade
    ) -> float | None:
        load = least_load(self._replica_cache.of(serving))
        if load is None:
            return None
        return load.wait_s(cascade.policy.times_by_version[version])

    def _plan(self) -> None:
        while not self._kernel.stopping.wait(PLAN_INTERVAL_S):
            self.cascades.replan(self._table.state)
