"""The upstream service: replicas by what they serve, and calls to them."""

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
from marigoldhoist.components.upstreams.ejection import Ejections
from marigoldhoist.components.upstreams.models import Replica, UpstreamCall
from marigoldhoist.components.upstreams.registry import ReplicaRegistry
from marigoldhoist.components.upstreams.response import UpstreamResponse
from marigoldhoist.components.upstreams.settings import UpstreamSettings
from marigoldhoist.components.upstreams.watch import ReplicaWatch
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.kernel import BaseService, Kernel
from marigoldhoist.core.verdict import Verdict

Sent = Result[UpstreamResponse, RequestFailure]


class UpstreamService(BaseService):
    """Replicas from the host list, and HTTP calls to them."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.settings.section(UpstreamSettings)
        self._hosts = kernel.find(HOSTS, HostService)
        self._pool = urllib3.PoolManager(
            num_pools=MAX_POOLS,
            maxsize=CONNECTIONS_PER_REPLICA,
            retries=False,
        )
        self._registry = ReplicaRegistry()
        self._ejections = Ejections()
        self._watch = ReplicaWatch(
            self._registry, self._ejections, kernel.stopping
        )

    def start(self) -> None:
        """Begin to poll and probe."""
        self._kernel.spawn('upstream-poll', self._watch.poll)
        self._kernel.spawn('upstream-probe', self._watch.probe)

    def replicas_serving(self, name: str) -> tuple[Replica, ...]:
        """Return the replicas that serve a name and take new work."""
        listed = self._registry.serving(self._hosts.hosts_by_name, name)
        return self._ejections.usable(listed, SYSTEM_CLOCK.monotonic_s())

    def send(self, replica: Replica, call: UpstreamCall) -> Sent:
        """Send a call; the failure's verdict says whether it may have run."""
        replica.begin_request()
        try:
            reply = self._request(replica, call)
        except urllib3.exceptions.HTTPError as error:
            replica.end_request()
            return Err(self._note_failure(replica, error))
        answer = UpstreamResponse(replica, reply)
        if LEAVING_HEADER in reply.headers:
            self._watch.note_leaving(replica)
            if reply.status == HTTP_UNAVAILABLE:
                answer.close()
                return Err(_failure(f'{replica.host} is leaving', is_run=False))
        return Ok(answer)

    @property
    def no_progress_s(self) -> float:
        """Return the longest pause of a stream, in seconds."""
        return self._settings.no_progress_s

    def report_failed_response(self, replica: Replica) -> None:
        """Learn that an answer was cut or stopped making progress."""
        self._watch.suspect(replica)

    def cancel(self, replica: Replica, request_id: str) -> None:
        """Ask a replica to stop working on a request; it may not hear."""
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
        longest_s = call.timeout_s
        if call.is_streamed:
            longest_s = min(self._settings.no_progress_s, longest_s)
        return self._pool.request(
            call.method,
            replica.url + call.path,
            body=call.body,
            headers=call.headers,
            timeout=urllib3.Timeout(
                connect=min(self._settings.connect_timeout_s, call.timeout_s),
                read=longest_s,
            ),
            preload_content=False,
            redirect=False,
        )

    def _note_failure(
        self, replica: Replica, error: urllib3.exceptions.HTTPError
    ) -> RequestFailure:
        not_sent = isinstance(
            error,
            urllib3.exceptions.NewConnectionError
            | urllib3.exceptions.ConnectTimeoutError,
        )
        if not_sent:
            self._watch.eject(replica)
        else:
            self._watch.suspect(replica)
        return _failure(
            f'{replica.host}: {type(error).__name__}', is_run=not not_sent
        )


def _failure(message: str, *, is_run: bool) -> RequestFailure:
    return RequestFailure(
        code=ErrorCode.UPSTREAM_FAILED,
        message=message,
        verdict=Verdict.MAY_HAVE_RUN if is_run else Verdict.NOT_RUN,
    )
