"""The upstream service: replicas by what they serve, and calls to them."""

import urllib3
from result import Err, Ok, Result

from marigoldhoist.components.hosts.const import COMPONENT as HOSTS
from marigoldhoist.components.hosts.models import (
    HostEntry,
    HostRole,
    HostState,
)
from marigoldhoist.components.hosts.service import HostService
from marigoldhoist.components.upstreams.answer import UpstreamAnswer
from marigoldhoist.components.upstreams.const import (
    CONNECTIONS_PER_REPLICA,
    MAX_POOLS,
)
from marigoldhoist.components.upstreams.models import Replica, UpstreamCall
from marigoldhoist.components.upstreams.settings import UpstreamSettings
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.kernel import BaseService, Kernel
from marigoldhoist.core.verdict import Verdict

UPSTREAM_ROLES = (HostRole.ENGINE, HostRole.SERVICE)


class UpstreamService(BaseService):
    """Replicas from the host list, and HTTP calls to them."""

    def __init__(self, kernel: Kernel) -> None:
        self._settings = kernel.settings.section(UpstreamSettings)
        self._hosts = kernel.find(HOSTS, HostService)
        self._pool = urllib3.PoolManager(
            num_pools=MAX_POOLS,
            maxsize=CONNECTIONS_PER_REPLICA,
            retries=False,
        )
        self._replica_by_host: dict[str, Replica] = {}

    def replicas_serving(self, name: str) -> tuple[Replica, ...]:
        """Return the replicas that serve a name and take new work."""
        return tuple(
            replica
            for replica in self._current()
            if name in replica.serves and not replica.is_leaving
        )

    def send(
        self, replica: Replica, call: UpstreamCall
    ) -> Result[UpstreamAnswer, RequestFailure]:
        """Send a call; the failure's verdict says whether it may have run."""
        url = f'http://{replica.address}:{replica.port}{call.path}'
        timeout = urllib3.Timeout(
            connect=min(self._settings.connect_timeout_s, call.timeout_s),
            read=min(self._settings.no_progress_s, call.timeout_s),
        )
        replica.begin()
        try:
            reply = self._pool.request(
                call.method,
                url,
                body=call.body,
                headers=call.headers,
                timeout=timeout,
                preload_content=False,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            replica.end()
            return Err(_failure(replica, error))
        return Ok(UpstreamAnswer(replica, reply))

    def _current(self) -> list[Replica]:
        entries = [
            entry
            for role in UPSTREAM_ROLES
            for entry in self._hosts.with_role(role)
        ]
        return [self._replica(entry) for entry in entries]

    def _replica(self, entry: HostEntry) -> Replica:
        replica = self._replica_by_host.get(entry.host)
        if replica is None or replica.port != entry.port:
            replica = Replica(
                host=entry.host,
                address=entry.address,
                port=entry.port,
                failure_domain=entry.failure_domain,
                serves=entry.serves,
                first_seen_s=SYSTEM_CLOCK.monotonic_s(),
            )
            self._replica_by_host[entry.host] = replica
        replica.serves = entry.serves
        replica.is_leaving = entry.state is HostState.LEAVING
        return replica


def _failure(
    replica: Replica, error: urllib3.exceptions.HTTPError
) -> RequestFailure:
    not_sent = isinstance(
        error,
        urllib3.exceptions.NewConnectionError
        | urllib3.exceptions.ConnectTimeoutError,
    )
    return RequestFailure(
        code=ErrorCode.UPSTREAM_FAILED,
        message=f'{replica.host}: {type(error).__name__}',
        verdict=Verdict.NOT_RUN if not_sent else Verdict.MAY_HAVE_RUN,
    )
