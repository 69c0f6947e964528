"""Try replicas until one answers or no try is left."""

import dataclasses
import time
from collections.abc import Callable

from result import Err, Ok, Result

from marigoldhoist.components.dispatch.const import (
    HEDGE,
    MAX_ATTEMPTS,
    PRIORITY_HEDGE,
    PRIORITY_RESUME,
    RESUME,
    RETRY,
)
from marigoldhoist.components.dispatch.hedging import Try, race
from marigoldhoist.components.dispatch.sending import (
    Job,
    Sender,
    Tried,
    out_of_time,
    silent,
)
from marigoldhoist.components.dispatch.stages import Passage
from marigoldhoist.components.retries.const import COMPONENT as RETRIES
from marigoldhoist.components.retries.service import RetryService
from marigoldhoist.components.routing.const import COMPONENT as ROUTING
from marigoldhoist.components.routing.service import RoutingService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from marigoldhoist.components.upstreams.const import COMPONENT as UPSTREAMS
from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.components.upstreams.response import UpstreamResponse
from marigoldhoist.components.upstreams.service import UpstreamService
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.kernel import Kernel

Chosen = Result[Replica, RequestFailure]


class Attempts:
    """Sends a request to one replica after another, as verdicts allow.

    A try that may have run is repeated within the budget only; one that did
    not run costs an upstream nothing and is repeated at once.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._routing = kernel.find(ROUTING, RoutingService)
        self._upstreams = kernel.find(UPSTREAMS, UpstreamService)
        self._retries = kernel.find(RETRIES, RetryService)
        self._sender = Sender(kernel.find(TABLE, TableService), self._upstreams)

    def run(self, passage: Passage, version: str) -> Tried:
        """Return the first usable answer, or the last failure."""
        job = Job(passage, version)
        self._retries.note_request(job.request.target)
        tried: set[str] = set()
        outcome: Tried = Err(out_of_time())
        for _ in range(MAX_ATTEMPTS):
            replica = self._choose(job, tried)
            if isinstance(replica, Err):
                return outcome if tried else replica
            outcome = self._attempt(job, replica.ok_value, tried)
            if not self._may_try_again(job.request, outcome):
                return outcome
        return outcome

    def resume(
        self,
        passage: Passage,
        version: str,
        delivered: int,
        broken: UpstreamResponse,
    ) -> UpstreamResponse | None:
        """Return the rest of a stream that broke off, from the same version.

        None where the version takes no work, the budget is spent or the
        engine does not go on where it was asked to.
        """
        self._upstreams.report_failed_response(broken.replica)
        target = passage.request.target
        if self._kernel.stopping.is_set() or not version:
            return None
        if not self._retries.try_take(target, RESUME):
            return None
        job = Job(passage, version, delivered, PRIORITY_RESUME)
        replica = self._choose(job, {broken.replica.host})
        if isinstance(replica, Err):
            replica = self._choose(job, set())
        resumed = replica.and_then(lambda one: self._sender.send(job, one))
        return resumed.ok_value if isinstance(resumed, Ok) else None

    def _choose(self, job: Job, tried: set[str]) -> Chosen:
        chosen = self._routing.choose_replica(job.serving, tried)
        if isinstance(chosen, Ok):
            tried.add(chosen.ok_value.host)
        return chosen

    def _attempt(self, job: Job, replica: Replica, tried: set[str]) -> Tried:
        if not job.request.is_streamed or not job.request.is_repeatable:
            return self._sender.send(job, replica)
        delay_s = self._retries.hedge_delay_s(job.serving)
        if delay_s is None:
            return self._started(job, replica)
        running = [replica]

        def hedge() -> Try | None:
            second = self._hedge_replica(job, tried)
            if second is None:
                return None
            running.append(second)
            late = dataclasses.replace(job, priority=PRIORITY_HEDGE)
            return self._try(late, second)

        won = race(self._try(job, replica), delay_s, hedge)
        self._cancel_losers(job, running, won)
        return won

    def _try(self, job: Job, replica: Replica) -> Callable[[], Tried]:
        return lambda: self._started(job, replica)

    def _started(self, job: Job, replica: Replica) -> Tried:
        """Send, and wait for the first bytes of the body."""
        started_s = time.monotonic()
        sent = self._sender.send(job, replica)
        if isinstance(sent, Err):
            return sent
        answer = sent.ok_value
        if not answer.wait_for_body(self._patience_s(job.request)):
            answer.close()
            self._upstreams.report_failed_response(replica)
            return Err(silent(replica))
        self._retries.note_first_token(
            job.serving, time.monotonic() - started_s
        )
        return sent

    def _patience_s(self, request: CallerRequest) -> float:
        return min(request.time_left_s, self._upstreams.no_progress_s)

    def _hedge_replica(self, job: Job, tried: set[str]) -> Replica | None:
        replica = self._choose(job, tried)
        if isinstance(replica, Err):
            return None
        if not self._retries.try_take(job.request.target, HEDGE):
            return None
        return replica.ok_value

    def _cancel_losers(
        self, job: Job, running: list[Replica], won: Tried
    ) -> None:
        if isinstance(won, Err):
            return
        for replica in running:
            if replica is not won.ok_value.replica:
                self._upstreams.cancel(replica, job.request.request_id)

    def _may_try_again(self, request: CallerRequest, outcome: Tried) -> bool:
        if isinstance(outcome, Ok):
            return False
        failure = outcome.err_value
        if failure.code is not ErrorCode.UPSTREAM_FAILED:
            return False
        if failure.verdict.allows_retry:
            return True
        if not request.is_repeatable:
            return False
        return self._retries.try_take(request.target, RETRY)
