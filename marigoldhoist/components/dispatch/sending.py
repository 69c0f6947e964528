"""Send one try of a request to one replica, after the last checks."""

import dataclasses
import time

from result import Err, Ok, Result

from marigoldhoist.components.dispatch.calls import serving_name, upstream_call
from marigoldhoist.components.dispatch.const import (
    HTTP_SERVER_ERROR,
    PRIORITY_NORMAL,
)
from marigoldhoist.components.dispatch.stages import Attempt, Passage
from marigoldhoist.components.table.service import TableService
from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.components.upstreams.response import UpstreamResponse
from marigoldhoist.components.upstreams.service import UpstreamService
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.verdict import Verdict

Tried = Result[UpstreamResponse, RequestFailure]


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request on a version; the tokens before resume_from are delivered.

    The version is empty for a plain service.
    """

    passage: Passage
    version: str
    resume_from: int = 0
    priority: int = PRIORITY_NORMAL

    @property
    def request(self) -> CallerRequest:
        """Return the caller's request."""
        return self.passage.request

    @property
    def serving(self) -> str:
        """Return the name that replicas serve it by."""
        return serving_name(self.passage.request, self.version)


class Sender:
    """Checks deadline, version and stages again before each try."""

    def __init__(self, table: TableService, upstreams: UpstreamService) -> None:
        self._table = table
        self._upstreams = upstreams

    def send(self, job: Job, replica: Replica) -> Tried:
        """Send the job to the replica; a failed try is reported."""
        refusal = self._refusal(job)
        if refusal is not None:
            return Err(refusal)
        started_s = time.monotonic()
        call = upstream_call(
            job.request, job.version, job.resume_from, job.priority
        )
        sent = self._upstreams.send(replica, call)
        if isinstance(sent, Ok) and job.version:
            sent = _checked(sent.ok_value, job)
        if isinstance(sent, Err):
            attempt = Attempt(
                serving=job.serving,
                replica=replica.host,
                verdict=sent.err_value.verdict,
                duration_s=time.monotonic() - started_s,
            )
            job.passage.report(attempt)
        return sent

    def _refusal(self, job: Job) -> RequestFailure | None:
        request = job.request
        if request.time_left_s <= 0:
            return out_of_time()
        state = self._table.state
        if job.version and not state.takes_work(request.target, job.version):
            return RequestFailure(ErrorCode.NO_VERSION, 'version was withdrawn')
        return job.passage.recheck()


def out_of_time() -> RequestFailure:
    """Return the failure of a request whose deadline has passed."""
    return RequestFailure(ErrorCode.DEADLINE_EXCEEDED, 'no time left')


def silent(replica: Replica) -> RequestFailure:
    """Return the failure of a try that brought no first bytes."""
    return RequestFailure(
        ErrorCode.UPSTREAM_FAILED,
        f'{replica.host}: no first bytes in time',
        Verdict.MAY_HAVE_RUN,
    )


def _checked(answer: UpstreamResponse, job: Job) -> Tried:
    message = ''
    if answer.status >= HTTP_SERVER_ERROR:
        message = f'upstream answered {answer.status}'
    elif answer.resumed_from != job.resume_from:
        message = 'upstream cannot resume'
    if not message:
        return Ok(answer)
    answer.close()
    return Err(
        RequestFailure(ErrorCode.UPSTREAM_FAILED, message, Verdict.MAY_HAVE_RUN)
    )
