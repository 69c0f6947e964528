"""Retry, hedge and resume requests across replicas."""

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
from marigoldhoist.components.dispatch.hedging import SendAttempt, race
from marigoldhoist.components.dispatch.sending import (
    AttemptResult,
    AttemptSpec,
    Sender,
    deadline_failure,
    no_first_bytes_failure,
    require_stream,
)
from marigoldhoist.components.dispatch.stages import StagedRequest
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

ChosenReplica = Result[Replica, RequestFailure]


class AttemptRunner:
    """Sends a request to replicas until one returns a usable answer.

    An attempt that may have run is retried only if the request is repeatable
    and the retry budget allows it. An attempt that certainly did not run
    costs the upstream nothing and is retried without using the budget.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._routing = kernel.find(ROUTING, RoutingService)
        self._upstreams = kernel.find(UPSTREAMS, UpstreamService)
        self._retries = kernel.find(RETRIES, RetryService)
        self._sender = Sender(kernel.find(TABLE, TableService), self._upstreams)

    def run(self, staged: StagedRequest, version: str) -> AttemptResult:
        """Return the first usable answer, or the last failure.

        At most MAX_ATTEMPTS attempts are started; their hedges are not
        counted.
        """
        spec = AttemptSpec(staged, version)
        self._retries.note_request(spec.request.target)
        tried_hosts: set[str] = set()
        outcome: AttemptResult = Err(deadline_failure())
        for _ in range(MAX_ATTEMPTS):
            replica = self._choose(spec, tried_hosts)
            if isinstance(replica, Err):
                return outcome if tried_hosts else replica
            outcome = self._attempt_with_hedge(
                spec, replica.ok_value, tried_hosts
            )
            if not self._may_retry(spec.request, outcome):
                return outcome
        return outcome

    def resume(
        self,
        staged: StagedRequest,
        version: str,
        delivered: int,
        broken_answer: UpstreamResponse,
    ) -> UpstreamResponse | None:
        """Resume an interrupted stream on a replica of the same version.

        A replica other than the failed one is preferred. Returns None if the
        daemon is stopping, the request is for a plain service, the budget is
        spent, or no replica accepts the request at the requested token.
        """
        self._upstreams.report_failed_response(broken_answer.replica)
        target = staged.request.target
        if self._kernel.stopping.is_set() or not version:
            return None
        if not self._retries.try_take(target, RESUME):
            return None
        spec = AttemptSpec(staged, version, delivered, PRIORITY_RESUME)
        replica = self._choose(spec, {broken_answer.replica.host})
        if isinstance(replica, Err):
            replica = self._choose(spec, set())
        resumed = replica.and_then(
            lambda chosen: self._sender.send(spec, chosen)
        ).and_then(require_stream)
        return resumed.ok_value if isinstance(resumed, Ok) else None

    def _choose(
        self, spec: AttemptSpec, tried_hosts: set[str]
    ) -> ChosenReplica:
        chosen = self._routing.choose_replica(spec.serving, tried_hosts)
        if isinstance(chosen, Ok):
            tried_hosts.add(chosen.ok_value.host)
        return chosen

    def _attempt_with_hedge(
        self, spec: AttemptSpec, replica: Replica, tried_hosts: set[str]
    ) -> AttemptResult:
        if not spec.request.is_streamed or not spec.request.is_repeatable:
            return self._sender.send(spec, replica)
        delay_s = self._retries.hedge_delay_s(spec.serving)
        if delay_s is None:
            return self._send_and_await_body(spec, replica)
        replicas = [replica]

        def hedge() -> SendAttempt | None:
            second = self._hedge_replica(spec, tried_hosts)
            if second is None:
                return None
            replicas.append(second)
            hedge_spec = dataclasses.replace(spec, priority=PRIORITY_HEDGE)
            return self._bind_attempt(hedge_spec, second)

        race_result = race(self._bind_attempt(spec, replica), delay_s, hedge)
        self._cancel_losers(spec, replicas, race_result)
        return race_result

    def _bind_attempt(
        self, spec: AttemptSpec, replica: Replica
    ) -> Callable[[], AttemptResult]:
        return lambda: self._send_and_await_body(spec, replica)

    def _send_and_await_body(
        self, spec: AttemptSpec, replica: Replica
    ) -> AttemptResult:
        """Send one attempt and wait for the first bytes of the body."""
        started_s = time.monotonic()
        sent = self._sender.send(spec, replica)
        if isinstance(sent, Err):
            return sent
        answer = sent.ok_value
        if not answer.wait_for_body(self._body_timeout_s(spec.request)):
            answer.close()
            self._upstreams.report_failed_response(replica)
            return Err(no_first_bytes_failure(replica))
        self._retries.note_first_token(
            spec.serving, time.monotonic() - started_s
        )
        return sent

    def _body_timeout_s(self, request: CallerRequest) -> float:
        return min(request.time_left_s, self._upstreams.no_progress_s)

    def _hedge_replica(
        self, spec: AttemptSpec, tried_hosts: set[str]
    ) -> Replica | None:
        replica = self._choose(spec, tried_hosts)
        if isinstance(replica, Err):
            return None
        if not self._retries.try_take(spec.request.target, HEDGE):
            return None
        return replica.ok_value

    def _cancel_losers(
        self,
        spec: AttemptSpec,
        replicas: list[Replica],
        race_result: AttemptResult,
    ) -> None:
        if isinstance(race_result, Err):
            return
        for replica in replicas:
            if replica is not race_result.ok_value.replica:
                self._upstreams.cancel(replica, spec.request.request_id)

    def _may_retry(
        self, request: CallerRequest, outcome: AttemptResult
    ) -> bool:
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
