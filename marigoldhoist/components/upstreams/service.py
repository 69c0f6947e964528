"""The upstream service: replica lookup and HTTP calls to replicas."""

import contextlib

import msgspec
import urllib3
from result import Err, Ok, Result

from marigoldhoist.components.hosts.const import COMPONENT as HOSTS
from marigoldhoist.components.hosts.service import HostService
from marigoldhoist.components.upstreams.const import (
    CANCEL_PATH,
    CONNECTIONS_PER_REPLICA,
    HTTP_UNAVAILABLE,
    LEAVING_HEADER,
    MAX_POOLS,
    POLL_TIMEOUT_S,
)
from marigoldhoist.components.upstreams.ejection import EjectionTracker
from marigoldhoist.components.upstreams.models import Replica, UpstreamCall
from marigoldhoist.components.upstreams.monitor import ReplicaMonitor
from marigoldhoist.components.upstreams.registry import ReplicaRegistry
from marigoldhoist.components.upstreams.response import UpstreamResponse
from marigoldhoist.components.upstreams.settings import UpstreamSettings
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.http_client import new_pool
from marigoldhoist.core.kernel import BaseService, Kernel
from marigoldhoist.core.verdict import Verdict

SendResult = Result[UpstreamResponse, RequestFailure]


class UpstreamService(BaseService):
    """Looks up healthy replicas and sends HTTP calls to them."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.settings.section(UpstreamSettings)
        self._hosts = kernel.find(HOSTS, HostService)
        self._pool = new_pool(MAX_POOLS, CONNECTIONS_PER_REPLICA)
        self._registry = ReplicaRegistry()
        self._ejections = EjectionTracker()
        self._monitor = ReplicaMonitor(
            self._registry, self._ejections, kernel.stopping
        )

    def start(self) -> None:
        """Start the threads that poll and probe replicas."""
        self._kernel.spawn('upstream-poll', self._monitor.poll)
        self._kernel.spawn('upstream-probe', self._monitor.probe)

    def replicas_serving(self, name: str) -> tuple[Replica, ...]:
        """Return the replicas that serve a name and accept new requests."""
        replicas = self._registry.serving(self._hosts.hosts_by_name, name)
        return self._ejections.usable(replicas, SYSTEM_CLOCK.monotonic_s())

    def send(self, replica: Replica, call: UpstreamCall) -> SendResult:
        """Send a call; a failure's verdict tells whether it may have run."""
        replica.begin_request()
        try:
            reply = self._request(replica, call)
        except urllib3.exceptions.HTTPError as error:
            replica.end_request()
            return Err(self._note_failure(replica, error))
        response = UpstreamResponse(replica, reply)
        if LEAVING_HEADER in reply.headers:
            self._monitor.note_leaving(replica)
            if reply.status == HTTP_UNAVAILABLE:
                response.close()
                return Err(
                    _failure(f'{replica.host} is leaving', may_have_run=False)
                )
        return Ok(response)

    @property
    def no_progress_s(self) -> float:
        """Return the longest wait for data of a stream, in seconds."""
        return self._settings.no_progress_s

    def report_failed_response(self, replica: Replica) -> None:
        """Probe a replica after a response was cut or stopped progressing."""
        self._monitor.schedule_probe(replica)

    def cancel(self, replica: Replica, request_id: str) -> None:
        """Ask a replica to cancel a request; errors are ignored."""
        body = msgspec.json.encode({'request_id': request_id})
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            self._pool.request(
                'POST',
                replica.url + CANCEL_PATH,
                body=body,
                timeout=POLL_TIMEOUT_S,
            )

    def _request(
        self, replica: Replica, call: UpstreamCall
    ) -> urllib3.BaseHTTPResponse:
        read_timeout_s = call.timeout_s
        if call.is_streamed:
            read_timeout_s = min(self._settings.no_progress_s, read_timeout_s)
        return self._pool.request(
            call.method,
            replica.url + call.path,
            body=call.body,
            headers=call.headers,
            timeout=urllib3.Timeout(
                connect=min(self._settings.connect_timeout_s, call.timeout_s),
                read=read_timeout_s,
            ),
            preload_content=False,
            redirect=False,
        )

    def _note_failure(
        self, replica: Replica, error: urllib3.exceptions.HTTPError
    ) -> RequestFailure:
        is_unsent = isinstance(
            error,
            urllib3.exceptions.NewConnectionError
            | urllib3.exceptions.ConnectTimeoutError,
        )
        if is_unsent:
            self._monitor.eject(replica)
        else:
            self._monitor.schedule_probe(replica)
        return _failure(
            f'{replica.host}: {type(error).__name__}',
            may_have_run=not is_unsent,
        )


def _failure(message: str, *, may_have_run: bool) -> RequestFailure:
    return RequestFailure(
        code=ErrorCode.UPSTREAM_FAILED,
        message=message,
        verdict=Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN,
    )
