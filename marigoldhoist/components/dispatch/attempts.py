"""Try replicas until one answers or no try is left."""

import time

from result import Err, Ok, Result

from marigoldhoist.components.dispatch.calls import serving_name, upstream_call
from marigoldhoist.components.dispatch.const import (
    HTTP_SERVER_ERROR,
    MAX_ATTEMPTS,
)
from marigoldhoist.components.dispatch.stages import Attempt, Passage
from marigoldhoist.components.routing.service import RoutingService
from marigoldhoist.components.table.service import TableService
from marigoldhoist.components.upstreams.answer import UpstreamAnswer
from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.components.upstreams.service import UpstreamService
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.verdict import Verdict

Tried = Result[UpstreamAnswer, RequestFailure]


class Attempts:
    """Sends a request to one replica after another, as verdicts allow."""

    def __init__(
        self,
        table: TableService,
        routing: RoutingService,
        upstreams: UpstreamService,
    ) -> None:
        self._table = table
        self._routing = routing
        self._upstreams = upstreams

    def run(self, passage: Passage, version: str) -> Tried:
        """Return the first usable answer, or the last failure."""
        tried: set[str] = set()
        outcome: Tried = Err(_out_of_time())
        serving = serving_name(passage.request, version)
        for _ in range(MAX_ATTEMPTS):
            replica = self._routing.choose_replica(serving, tried)
            if isinstance(replica, Err):
                return outcome if tried else replica
            tried.add(replica.ok_value.host)
            outcome = self._attempt(passage, version, replica.ok_value)
            if not _may_try_again(passage.request, outcome):
                return outcome
        return outcome

    def _attempt(
        self, passage: Passage, version: str, replica: Replica
    ) -> Tried:
        request = passage.request
        if request.time_left_s <= 0:
            return Err(_out_of_time())
        if version and not self._takes_work(request, version):
            return Err(
                RequestFailure(ErrorCode.NO_VERSION, 'version was withdrawn')
            )
        refusal = passage.recheck()
        if refusal is not None:
            return Err(refusal)
        started_s = time.monotonic()
        sent = self._upstreams.send(replica, upstream_call(request, version))
        if isinstance(sent, Ok) and version:
            sent = _checked(sent.ok_value)
        if isinstance(sent, Err):
            passage.report(
                Attempt(
                    serving=serving_name(request, version),
                    replica=replica.host,
                    verdict=sent.err_value.verdict,
                    duration_s=time.monotonic() - started_s,
                )
            )
        return sent

    def _takes_work(self, request: CallerRequest, version: str) -> bool:
        return self._table.state.takes_work(request.target, version)


def _checked(answer: UpstreamAnswer) -> Tried:
    if answer.status < HTTP_SERVER_ERROR:
        return Ok(answer)
    answer.close()
    return Err(
        RequestFailure(
            ErrorCode.UPSTREAM_FAILED,
            f'upstream answered {answer.status}',
            Verdict.MAY_HAVE_RUN,
        )
    )


def _out_of_time() -> RequestFailure:
    return RequestFailure(ErrorCode.DEADLINE_EXCEEDED, 'no time left')


def _may_try_again(request: CallerRequest, outcome: Tried) -> bool:
    if isinstance(outcome, Ok):
        return False
    failure = outcome.err_value
    if failure.code is not ErrorCode.UPSTREAM_FAILED:
        return False
    return request.is_repeatable or failure.verdict.allows_retry
