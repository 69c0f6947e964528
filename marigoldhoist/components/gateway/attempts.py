"""Attempts of one call: choose a replica, send, decide on a retry."""

import contextlib
from collections.abc import AsyncIterator, Iterable, Iterator
from typing import Final

from marigoldhoist.components.canary.comparison import AnswerSample
from marigoldhoist.components.canary.evidence import Measure
from marigoldhoist.components.configuration.models import Route
from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.gateway.admission import AdmittedCall
from marigoldhoist.components.gateway.const import MIN_SEND_TIME_LEFT_S
from marigoldhoist.components.gateway.context import GatewayContext
from marigoldhoist.components.gateway.errors import AttemptError, RefusedError
from marigoldhoist.components.gateway.events import (
    ANSWER_FAILED,
    ATTEMPT_FAILED,
    NOT_SENT_AGAIN,
    REQUEST_SENT,
    STREAM_RESUMED,
)
from marigoldhoist.components.gateway.models import ForwardingContext
from marigoldhoist.components.gateway.part_guard import PartGuard
from marigoldhoist.components.gateway.peer_attempts import PeerAttempts
from marigoldhoist.components.gateway.progress import CallProgress
from marigoldhoist.components.gateway.replica_choice import ReplicaChoice
from marigoldhoist.components.gateway.replica_response import ReplicaResponse
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.verdict import Verdict

# The interval between stream events of an idle replica, relative to that of a
# replica with `BUSY_REQUESTS` requests in flight.
IDLE_INTERVAL_FACTOR: Final = 0.65
BUSY_REQUESTS: Final = 4
# Number of unreachable replicas at which another attempt at a call counts as a
# retry.
MAX_UNREACHABLE_REPLICAS: Final = 5


class Attempts:
    """Sends one call to replicas and records the outcome of each attempt."""

    def __init__(self, progress: CallProgress, context: GatewayContext) -> None:
        self._progress = progress
        self._context = context
        self.part_guard = PartGuard(progress, context.quarantine)
        self._replicas = ReplicaChoice(progress, context)
        self._peers = PeerAttempts(progress, context, self._replicas)

    def admit(self) -> AdmittedCall:
        """Return the admitted call; raise RefusedError if it is refused."""
        progress = self._progress
        admitted = self._context.admission.admit(progress.call)
        failure: RequestFailure | None
        if isinstance(admitted, AdmittedCall):
            progress.service = admitted.service
            progress.route_name = admitted.route.name
            progress.route_timeout_s = admitted.route.timeout_s
            failure = self.part_guard.hold_failure()
            if failure is None:
                return admitted
        else:
            failure = admitted
        if progress.verdict is not Verdict.NOT_RUN:
            raise RefusedError(self._upstream_failure())
        raise RefusedError(failure)

    @contextlib.asynccontextmanager
    async def send(self) -> AsyncIterator[ReplicaResponse]:
        """Send the call to a replica and yield its response.

        The call is admitted again, as the configuration may have changed
        since it arrived. Raise RefusedError if it cannot be sent, and
        AttemptError if the replica gives no usable response.
        """
        progress = self._progress
        admitted = self.admit()
        with self._own_verdict():
            peer = self._peers.choose(admitted.route)
            if peer is not None:
                async with self._peers.send(admitted.route, peer) as response:
                    yield response
                return
            replica = self._replicas.choose(admitted.route)
        if progress.time_left_s < MIN_SEND_TIME_LEFT_S:
            raise RefusedError(self.deadline_failure())
        self._record_send(replica)
        workspace = admitted.workspace
        forwarding = ForwardingContext(
            replica.host,
            progress.time_left_s,
            workspace.name if workspace else '',
            progress.model,
            progress.last_event_id,
            self.expected_first_event_s(progress.model),
        )
        with self.part_guard.tracked(replica):
            async with self._context.sender.send(
                progress.call,
                forwarding,
                replica,
                is_repeatable=admitted.route.is_repeatable,
                on_send=self.part_guard.record_send,
            ) as response:
                yield response

    def record_response(
        self,
        response: ReplicaResponse,
        *,
        is_failure: bool,
        is_complete: bool = True,
    ) -> None:
        """Update replica health, prefill times, canary and quarantine.

        A daemon that the call was handed to has done so for its replica.
        """
        replica = response.replica
        progress = self._progress
        if response.is_from_peer:
            progress.verdict = Verdict.RAN if is_failure else progress.verdict
            return
        prompt = progress.call.prompt
        now_s = SYSTEM_CLOCK.boottime_s()
        if is_failure:
            replica.note_failure(now_s)
            progress.verdict = Verdict.RAN
            progress.note(
                ANSWER_FAILED,
                replica=replica.host,
                version=replica.entry.version,
                status=response.head.status,
                sends=progress.send_count,
            )
        else:
            replica.note_success(now_s)
            if is_complete:
                self.part_guard.record_answer()
            if prompt is not None:
                self._context.picker.record_prefill(
                    replica, progress.model, prompt, response.time_to_head_s
                )
        if not progress.take_first_answer():
            return
        self._context.canary.record_answer(
            replica.entry,
            progress.call.session,
            AnswerSample(
                is_failure,
                response.time_to_head_s / progress.expected_relative_time,
                progress.workload,
            ),
        )

    def record_event_interval(
        self, response: ReplicaResponse, interval_s: float
    ) -> None:
        """Report the mean interval between stream events to the canary.

        The interval is normalized by the load of the replica, as a busy
        replica sends events more slowly.
        """
        if response.is_from_peer:
            return
        report = response.replica.report
        running = report.in_flight if report else BUSY_REQUESTS
        usual_factor = IDLE_INTERVAL_FACTOR + (1 - IDLE_INTERVAL_FACTOR) * min(
            1, running / BUSY_REQUESTS
        )
        self._context.canary.record_answer(
            response.replica.entry,
            self._progress.call.session,
            AnswerSample(
                False,
                interval_s / usual_factor,
                self._progress.workload,
                Measure.PACE,
            ),
        )

    def record_failure(self, error: AttemptError) -> None:
        """Record an attempt without a usable response.

        A failed connect does not count as a send.
        """
        progress = self._progress
        progress.last_failure_reason = error.reason
        if not error.was_sent:
            progress.send_count -= 1
            progress.unreachable_hosts.add(progress.last_host)
        if error.is_too_large:
            progress.too_large_hosts.add(progress.last_host)
        if error.verdict is not Verdict.NOT_RUN:
            progress.verdict = error.verdict
        progress.note(
            ATTEMPT_FAILED,
            replica=progress.last_host,
            reason=error.reason,
            verdict=error.verdict.value,
            sends=progress.send_count,
        )
        self._context.metrics.failed_attempts.labels(
            progress.service, error.reason
        ).inc()

    def require_retry_allowed(self, route: Route, error: AttemptError) -> None:
        """Raise RefusedError unless the call may be sent again.

        Below `MAX_UNREACHABLE_REPLICAS`, a failed connect uses neither a send
        nor the retry budget.
        """
        verdict = self._progress.verdict
        if verdict is Verdict.NOT_RUN or route.is_repeatable:
            if not error.was_sent and self._is_below_unreachable_limit:
                return
            if self.try_take_retry(route):
                return
        if verdict is Verdict.NOT_RUN:
            raise RefusedError(
                self._context.admission.refusal(
                    ErrorCode.OVERLOADED,
                    error.reason,
                    self._progress.time_left_s,
                )
            )
        raise RefusedError(self._upstream_failure())

    def try_take_retry(self, route: Route) -> bool:
        """Take a retry from the budget; return False if none is allowed."""
        progress = self._progress
        denial_reason = ''
        if progress.send_count >= route.max_attempts:
            denial_reason = 'the route allows no more'
        elif progress.time_left_s <= MIN_SEND_TIME_LEFT_S:
            denial_reason = 'no time is left'
        elif not self._context.retry_budgets.try_take(progress.service):
            denial_reason = 'the budget of repeats is spent'
        if denial_reason:
            progress.note(
                NOT_SENT_AGAIN,
                reason=denial_reason,
                sends=progress.send_count,
                left_s=round(progress.time_left_s, 3),
                budget_left=self._context.retry_budgets.remaining(
                    progress.service
                ),
            )
        return not denial_reason

    def expected_first_event_s(self, model: str) -> float | None:
        """Return the expected seconds to the first event, None if unknown."""
        prompt = self._progress.call.prompt
        if prompt is None:
            return None
        return self._context.picker.prefill_times.expected_s(
            model, prompt.tokens_in
        )

    def deadline_failure(self) -> RequestFailure:
        """Return the failure of a call whose deadline has passed."""
        if self._progress.send_count:
            return RequestFailure(
                ErrorCode.DEADLINE_EXCEEDED,
                'no answer in the time allowed',
                Verdict.MAY_HAVE_RUN,
            )
        return self._context.admission.refusal(
            ErrorCode.OVERLOADED, 'no time is left', 0
        )

    @property
    def _is_below_unreachable_limit(self) -> bool:
        progress = self._progress
        replicas = progress.unreachable_hosts - progress.tried_peers
        return len(replicas) < MAX_UNREACHABLE_REPLICAS

    def _record_send(self, replica: Replica) -> None:
        progress = self._progress
        progress.send_count += 1
        progress.last_host = replica.host
        progress.tried_hosts.add(replica.host)
        replica.take_turn(SYSTEM_CLOCK.boottime_s())
        self._context.canary.record_session(
            progress.call.session, replica.entry.version
        )
        progress.note(
            REQUEST_SENT,
            **_send_log_fields(progress, replica),
            **self._context.admission.configuration_fields(),
            closed_for_s=_closed_for_s(
                self._context.directory.usable(progress.service)
            ),
        )
        if progress.has_stream_started:
            progress.note(
                STREAM_RESUMED,
                replica=replica.host,
                after_event=progress.last_event_id,
            )

    @contextlib.contextmanager
    def _own_verdict(self) -> Iterator[None]:
        """Let no refusal say that a call was not run that may have been.

        A refusal speaks of the present attempt only.
        """
        try:
            yield
        except RefusedError as error:
            is_first = self._progress.verdict is Verdict.NOT_RUN
            if is_first or error.failure.verdict is not Verdict.NOT_RUN:
                raise
            raise RefusedError(self._upstream_failure()) from None

    def _upstream_failure(self) -> RequestFailure:
        return RequestFailure(
            ErrorCode.UPSTREAM_FAILED,
            self._progress.last_failure_reason
            or 'a replica failed the request',
            self._progress.verdict,
        )


def _closed_for_s(replicas: Iterable[Replica]) -> dict[str, float]:
    """Return how long replicas still want no requests, by host."""
    now_s = SYSTEM_CLOCK.boottime_s()
    return {
        replica.host: round(replica.closed_until_s - now_s, 3)
        for replica in replicas
        if replica.closed_until_s > now_s
    }


def _send_log_fields(
    progress: CallProgress, replica: Replica
) -> dict[str, object]:
    """Return log fields with the inputs of the replica choice."""
    report = replica.report
    limit = replica.rate_limit
    prompt = progress.call.prompt
    now_s = SYSTEM_CLOCK.boottime_s()
    return {
        'replica': replica.host,
        'version': replica.entry.version,
        'session': progress.call.session,
        'model': progress.model,
        'tokens_in': prompt.tokens_in if prompt else None,
        'own_in_flight': replica.in_flight,
        'reading_s': round(replica.backlog.pending_s, 3),
        'counted_in_flight': report.in_flight if report else None,
        'count_age_s': round(now_s - report.counted_s, 3) if report else None,
        'limit_per_s': limit.rate_per_s if limit else None,
        'sends': progress.send_count,
        'left_s': round(progress.time_left_s, 3),
    }
