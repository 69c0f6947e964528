"""Send one attempt of a request to one replica."""

import dataclasses
import time

from result import Err, Ok, Result

from marigoldhoist.components.dispatch.calls import serving_name, upstream_call
from marigoldhoist.components.dispatch.const import (
    HTTP_CLIENT_ERROR,
    HTTP_SERVER_ERROR,
    PRIORITY_NORMAL,
)
from marigoldhoist.components.dispatch.stages import Attempt, StagedRequest
from marigoldhoist.components.table.service import TableService
from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.components.upstreams.response import UpstreamResponse
from marigoldhoist.components.upstreams.service import UpstreamService
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.verdict import Verdict

AttemptResult = Result[UpstreamResponse, RequestFailure]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptSpec:
    """Parameters of one attempt.

    The version is empty for a plain service. resume_from is the number of
    tokens that have already been delivered to the caller.
    """

    staged: StagedRequest
    version: str
    resume_from: int = 0
    priority: int = PRIORITY_NORMAL

    @property
    def request(self) -> CallerRequest:
        """Return the caller's request."""
        return self.staged.request

    @property
    def serving(self) -> str:
        """Return the `model/version` or service name to route by."""
        return serving_name(self.staged.request, self.version)


class Sender:
    """Sends attempts.

    Before each one, the deadline, the version's state and the stages are
    checked again.
    """

    def __init__(self, table: TableService, upstreams: UpstreamService) -> None:
        self._table = table
        self._upstreams = upstreams

    def send(self, spec: AttemptSpec, replica: Replica) -> AttemptResult:
        """Send an attempt to the replica and report it if it fails."""
        refusal = self._refusal(spec)
        if refusal is not None:
            return Err(refusal)
        started_s = time.monotonic()
        call = upstream_call(
            spec.request, spec.version, spec.resume_from, spec.priority
        )
        sent = self._upstreams.send(replica, call)
        if isinstance(sent, Ok) and spec.version:
            sent = _validated(sent.ok_value, spec)
        if isinstance(sent, Err):
            attempt = Attempt(
                serving=spec.serving,
                replica=replica.host,
                verdict=sent.err_value.verdict,
                duration_s=time.monotonic() - started_s,
            )
            spec.staged.report(attempt)
        return sent

    def _refusal(self, spec: AttemptSpec) -> RequestFailure | None:
        request = spec.request
        if request.time_left_s <= 0:
            return deadline_failure()
        state = self._table.state
        if spec.version and not state.takes_work(request.target, spec.version):
            return RequestFailure(ErrorCode.NO_VERSION, 'version was withdrawn')
        return spec.staged.recheck()


def deadline_failure() -> RequestFailure:
    """Return the failure for a request whose deadline has passed."""
    return RequestFailure(ErrorCode.DEADLINE_EXCEEDED, 'no time left')


def no_first_bytes_failure(replica: Replica) -> RequestFailure:
    """Return the failure for an attempt that timed out before the body."""
    return RequestFailure(
        ErrorCode.UPSTREAM_FAILED,
        f'{replica.host}: no first bytes in time',
        Verdict.MAY_HAVE_RUN,
    )


def require_stream(answer: UpstreamResponse) -> AttemptResult:
    """Return the answer if it can follow the events of a broken stream."""
    if answer.status < HTTP_CLIENT_ERROR and answer.is_event_stream:
        return Ok(answer)
    return _rejected(
        answer, f'{answer.replica.host}: answered {answer.status}, no stream'
    )


def _validated(answer: UpstreamResponse, spec: AttemptSpec) -> AttemptResult:
    message = ''
    if answer.status >= HTTP_SERVER_ERROR:
        message = f'upstream answered {answer.status}'
    elif answer.resumed_from != spec.resume_from:
        message = 'upstream cannot resume'
    return _rejected(answer, message) if message else Ok(answer)


def _rejected(answer: UpstreamResponse, message: str) -> AttemptResult:
    """Close an answer that is not used and return its failure."""
    answer.close()
    return Err(
        RequestFailure(ErrorCode.UPSTREAM_FAILED, message, Verdict.MAY_HAVE_RUN)
    )
