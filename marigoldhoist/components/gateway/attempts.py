"""Try replicas for one call: choose, send, and decide on another try."""

import contextlib
from collections.abc import AsyncIterator, Container
from typing import Final

from marigoldhoist.components.canary.comparison import AnswerSample
from marigoldhoist.components.canary.evidence import Measure
from marigoldhoist.components.configuration.models import Route
from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.gateway.admission import AdmittedCall
from marigoldhoist.components.gateway.choosing import Wanted
from marigoldhoist.components.gateway.const import MIN_SEND_S
from marigoldhoist.components.gateway.context import (
    GatewayContext,
    RefusedError,
)
from marigoldhoist.components.gateway.errors import AttemptError
from marigoldhoist.components.gateway.events import (
    ANSWER_FAILED,
    ATTEMPT_FAILED,
    NOT_SENT_AGAIN,
    REQUEST_SENT,
    STREAM_RESUMED,
)
from marigoldhoist.components.gateway.models import ForwardingContext
from marigoldhoist.components.gateway.progress import CallProgress
from marigoldhoist.components.gateway.sending import RunningAnswer
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.verdict import Verdict

# A replica that has nothing else in hand goes on in this part of the time that
# one takes which has this many requests in hand.
IDLE_PACE: Final = 0.65
BUSY_REQUESTS: Final = 4
# Replicas that cannot be connected to, before the call is refused.
MOST_UNREACHED: Final = 5


class Attempts:
    """The tries of one call."""

    def __init__(self, progress: CallProgress, context: GatewayContext) -> None:
        self._progress = progress
        self._context = context

    def admit(self) -> AdmittedCall:
        """Return what the call may use now; RefusedError for nothing."""
        admitted = self._context.admission.admit(self._progress.call)
        if isinstance(admitted, AdmittedCall):
            self._progress.service = admitted.service
            self._progress.route_name = admitted.route.name
            self._progress.route_timeout_s = admitted.route.timeout_s
            return admitted
        if self._progress.verdict is not Verdict.NOT_RUN:
            raise RefusedError(self._upstream_failed())
        raise RefusedError(admitted)

    @contextlib.asynccontextmanager
    async def sent(self) -> AsyncIterator[RunningAnswer]:
        """Send the call to a replica; AttemptError where it gives nothing.

        The configuration is asked again, as it may have changed since the
        call arrived.
        """
        progress = self._progress
        admitted = self.admit()
        replica = self._choose(admitted.route)
        if progress.left_s < MIN_SEND_S:
            raise RefusedError(self.time_is_up())
        self._note_sent(replica)
        workspace = admitted.workspace
        forwarding = ForwardingContext(
            replica.host,
            progress.left_s,
            workspace.name if workspace else '',
            progress.model,
            progress.last_event,
            self.expected_s(progress.model) or 0,
        )
        async with self._context.sender.sent(
            progress.call,
            forwarding,
            replica,
            is_repeatable=admitted.route.is_repeatable,
        ) as answer:
            yield answer

    def note_answer(self, answer: RunningAnswer, *, is_failure: bool) -> None:
        """Learn from an answer that was read."""
        replica = answer.replica
        progress = self._progress
        prompt = progress.call.prompt
        now_s = SYSTEM_CLOCK.boottime_s()
        if is_failure:
            replica.note_failure(now_s)
            progress.verdict = Verdict.RAN
            progress.note(
                ANSWER_FAILED,
                replica=replica.host,
                version=replica.entry.version,
                status=answer.head.status,
                sends=progress.sends,
            )
        else:
            replica.note_success(now_s)
            if prompt is not None:
                self._context.picker.note_read(
                    replica, progress.model, prompt, answer.head_s
                )
        self._context.canary.record_answer(
            replica.entry,
            progress.call.session,
            AnswerSample(
                is_failure, answer.head_s / progress.usual_s, progress.work
            ),
        )

    def note_pace(self, answer: RunningAnswer, pace_s: float) -> None:
        """Learn the seconds between events of a stream that goes on."""
        report = answer.replica.report
        running = report.in_flight if report else BUSY_REQUESTS
        usual = IDLE_PACE + (1 - IDLE_PACE) * min(1, running / BUSY_REQUESTS)
        self._context.canary.record_answer(
            answer.replica.entry,
            self._progress.call.session,
            AnswerSample(
                False, pace_s / usual, self._progress.work, Measure.PACE
            ),
        )

    def note_failed(self, error: AttemptError) -> None:
        """Take in that a replica gave no answer."""
        progress = self._progress
        progress.last_reason = error.reason
        if not error.was_sent:
            progress.sends -= 1
            progress.unreached.add(progress.asked)
        if error.verdict is not Verdict.NOT_RUN:
            progress.verdict = error.verdict
        progress.note(
            ATTEMPT_FAILED,
            replica=progress.asked,
            reason=error.reason,
            verdict=error.verdict.value,
            sends=progress.sends,
        )
        self._context.metrics.attempts.labels(
            progress.service, error.reason
        ).inc()

    def require_another(self, route: Route, error: AttemptError) -> None:
        """Raise RefusedError unless another replica may be tried."""
        verdict = self._progress.verdict
        if verdict is Verdict.NOT_RUN or route.is_repeatable:
            if not error.was_sent and self._may_reach_another:
                return
            if self.may_send_again(route):
                return
        if verdict is Verdict.NOT_RUN:
            raise RefusedError(
                self._context.admission.refusal(
                    ErrorCode.OVERLOADED, error.reason, self._progress.left_s
                )
            )
        raise RefusedError(self._upstream_failed())

    def may_send_again(self, route: Route) -> bool:
        """Tell whether another send is allowed, and count it if so."""
        progress = self._progress
        obstacle = ''
        if progress.sends >= route.max_attempts:
            obstacle = 'the route allows no more'
        elif progress.left_s <= MIN_SEND_S:
            obstacle = 'no time is left'
        elif not self._context.repeats.try_take(progress.service):
            obstacle = 'the budget of repeats is spent'
        if obstacle:
            progress.note(
                NOT_SENT_AGAIN,
                reason=obstacle,
                sends=progress.sends,
                left_s=round(progress.left_s, 3),
                budget_left=self._context.repeats.left(progress.service),
            )
        return not obstacle

    def expected_s(self, model: str) -> float | None:
        """Return the seconds to the first event, none where unknown."""
        prompt = self._progress.call.prompt
        tokens = prompt.tokens_in if prompt else 0
        return self._context.picker.read_times.expected_s(model, tokens)

    def time_is_up(self) -> RequestFailure:
        """Return the final answer of a call whose time has passed."""
        if self._progress.sends:
            return RequestFailure(
                ErrorCode.DEADLINE_EXCEEDED,
                'no answer in the time allowed',
                Verdict.MAY_HAVE_RUN,
            )
        return self._context.admission.refusal(
            ErrorCode.OVERLOADED, 'no time is left', 0
        )

    @property
    def _may_reach_another(self) -> bool:
        return len(self._progress.unreached) < MOST_UNREACHED

    def _note_sent(self, replica: Replica) -> None:
        progress = self._progress
        progress.sends += 1
        progress.asked = replica.host
        progress.tried.add(replica.host)
        self._context.canary.record_session(
            progress.call.session, replica.entry.version
        )
        progress.note(REQUEST_SENT, **_sent_fields(progress, replica))
        if progress.has_begun:
            progress.note(
                STREAM_RESUMED,
                replica=replica.host,
                after_event=progress.last_event,
            )

    def _choose(self, route: Route) -> Replica:
        """Choose a replica, one that was tried only where none is left."""
        progress = self._progress
        picked = self._pick(progress.tried)
        if picked is None and route.is_repeatable:
            picked = self._pick(progress.unreached)
        if picked is None:
            raise RefusedError(self._no_replica())
        return picked

    def _pick(self, excluded: Container[str]) -> Replica | None:
        """Pick among the replicas of the first version that has one left."""
        progress = self._progress
        call = progress.call
        usable = self._context.directory.usable(progress.service)
        versions = self._context.canary.eligible_versions(
            progress.service, call.session
        )
        for version in versions or ('',):
            replicas = [
                one
                for one in usable
                if not version or one.entry.version == version
            ]
            picked = self._context.picker.pick(
                Wanted(replicas, excluded, progress.model, call.prompt)
            )
            if picked is not None:
                return picked
        return None

    def _no_replica(self) -> RequestFailure:
        usable = len(self._context.directory.usable(self._progress.service))
        if self._progress.verdict is not Verdict.NOT_RUN:
            return self._upstream_failed()
        return self._context.admission.refusal(
            ErrorCode.NO_REPLICA,
            f'none of {usable} replicas can take the request',
            self._progress.left_s,
        )

    def _upstream_failed(self) -> RequestFailure:
        return RequestFailure(
            ErrorCode.UPSTREAM_FAILED,
            self._progress.last_reason or 'a replica failed the request',
            self._progress.verdict,
        )


def _sent_fields(progress: CallProgress, replica: Replica) -> dict[str, object]:
    """Return what decided a send, with the age of the replica's own count."""
    report = replica.report
    prompt = progress.call.prompt
    now_s = SYSTEM_CLOCK.boottime_s()
    return {
        'replica': replica.host,
        'version': replica.entry.version,
        'session': progress.call.session,
        'model': progress.model,
        'tokens_in': prompt.tokens_in if prompt else None,
        'own_in_flight': replica.in_flight,
        'reading_s': round(replica.pending_prefill_s, 3),
        'counted_in_flight': report.in_flight if report else None,
        'count_age_s': round(now_s - report.counted_s, 3) if report else None,
        'sends': progress.sends,
        'left_s': round(progress.left_s, 3),
    }
