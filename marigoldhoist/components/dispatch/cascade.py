"""Answer requests with a cascade of model versions.

An answer is buffered until its doubt is known and escalated to another
version while time allows. Only the delivered answer is billed and settled.
It comes from a single version; output of other versions is discarded.
"""

import dataclasses
import time
from functools import partial

from result import Err, Ok, Result

from marigoldhoist.components.dispatch.attempts import AttemptRunner
from marigoldhoist.components.dispatch.buffered_answer import BufferedAnswer
from marigoldhoist.components.dispatch.calls import serving_name
from marigoldhoist.components.dispatch.stages import Attempt, StagedRequest
from marigoldhoist.components.quality.cells import CellKey, doubt_bin
from marigoldhoist.components.quality.const import COMPONENT as QUALITY
from marigoldhoist.components.quality.service import QualityService
from marigoldhoist.components.ratings.const import COMPONENT as RATINGS
from marigoldhoist.components.ratings.service import RatingService
from marigoldhoist.components.routing.cascades import CascadeRequest, Choice
from marigoldhoist.components.routing.const import COMPONENT as ROUTING
from marigoldhoist.components.routing.model_cascades import (
    ModelCascade,
    cascade_request,
)
from marigoldhoist.components.routing.plans import History
from marigoldhoist.components.routing.service import RoutingService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.kernel import Kernel
from marigoldhoist.core.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class StageAnswer:
    """Answer of one cascade stage and the version that produced it."""

    version: str
    answer: BufferedAnswer


CascadeResult = Result[StageAnswer, RequestFailure]


@dataclasses.dataclass(slots=True)
class CascadeRun:
    """State of one request's cascade.

    The history holds the version and doubt bin of each complete answer that
    reported a doubt. The fallback is the latest complete answer that was
    escalated. is_committed is set once the answer to deliver is selected.
    """

    staged: StagedRequest
    cascade: ModelCascade
    cascade_input: CascadeRequest
    started_s: float
    history: History = ()
    fallback: StageAnswer | None = None
    is_committed: bool = False

    @property
    def elapsed_s(self) -> float:
        """Return the seconds since the cascade started."""
        return time.monotonic() - self.started_s


class Cascade:
    """Runs the stages of the cascade that the routing selects."""

    def __init__(self, kernel: Kernel, attempts: AttemptRunner) -> None:
        self._table = kernel.find(TABLE, TableService)
        self._routing = kernel.find(ROUTING, RoutingService)
        self._quality = kernel.find(QUALITY, QualityService)
        self._ratings = kernel.find(RATINGS, RatingService)
        self._attempts = attempts

    def applies(self, request: CallerRequest) -> bool:
        """Return whether the request is answered by a cascade."""
        return (
            self._cascade_input(request) is not None
            and self._routing.cascade(request) is not None
        )

    def run(self, staged: StagedRequest) -> CascadeResult:
        """Run the cascade and return the answer to deliver."""
        request = staged.request
        cascade_input = self._cascade_input(request)
        cascade = self._routing.cascade(request)
        if cascade_input is None or cascade is None:
            return Err(_overloaded_failure())
        choice = cascade.choose(cascade_input, self._expected_waits(request))
        if choice is None:
            return Err(_overloaded_failure())
        run = CascadeRun(staged, cascade, cascade_input, time.monotonic())
        return self._run_stages(run, choice)

    def _run_stages(self, run: CascadeRun, first: Choice) -> CascadeResult:
        choice: Choice | None = first
        outcome: CascadeResult = Err(_overloaded_failure())
        while choice is not None:
            outcome = self._run_stage(run, choice)
            if isinstance(outcome, Err):
                return self._fall_back(run, outcome)
            choice = self._next_choice(run, choice, outcome.ok_value)
        return outcome

    def _run_stage(self, run: CascadeRun, choice: Choice) -> CascadeResult:
        attempt_result = self._attempts.run(run.staged, choice.version)
        if isinstance(attempt_result, Err):
            return attempt_result
        buffered = BufferedAnswer(
            attempt_result.ok_value,
            partial(self._record_answer, run, choice.version),
        )
        if not choice.is_streamed:
            buffered.read_until(run.started_s + choice.hold_s)
        return Ok(StageAnswer(choice.version, buffered))

    def _next_choice(
        self, run: CascadeRun, choice: Choice, stage_answer: StageAnswer
    ) -> Choice | None:
        """Return the next stage, or None if this answer is to be delivered.

        The answer is discarded if there is a next stage.
        """
        buffered = stage_answer.answer
        if choice.is_streamed or buffered.is_truncated:
            next_choice = None
        elif buffered.is_complete:
            next_choice = self._escalate_doubt(run, choice, buffered)
        else:
            next_choice = self._escalate_late(run, choice)
        if next_choice is not None:
            self._discard(run, stage_answer)
            return next_choice
        run.is_committed = True
        if buffered.doubt is not None:
            run.cascade.record_delivery(run.cascade_input, run.history)
        return None

    def _escalate_doubt(
        self, run: CascadeRun, choice: Choice, buffered: BufferedAnswer
    ) -> Choice | None:
        if buffered.doubt is None:
            return None
        return run.cascade.escalate(
            run.cascade_input,
            choice.price,
            run.history,
            run.elapsed_s,
            self._expected_waits(run.staged.request),
        )

    def _escalate_late(self, run: CascadeRun, choice: Choice) -> Choice | None:
        if run.history:
            return None
        waits = self._expected_waits(run.staged.request)
        return run.cascade.escalate_late(
            run.cascade_input, choice, run.elapsed_s, waits
        )

    def _record_answer(
        self, run: CascadeRun, version: str, buffered: BufferedAnswer
    ) -> None:
        """Record the times and the doubt of a complete answer.

        The answer may complete long after it was committed for delivery.
        """
        run.cascade.observe_times(
            version, buffered.first_chunk_s, buffered.total_s
        )
        if buffered.doubt is None:
            return
        key = self._cell_key(run, version, buffered.replica.failure_domain)
        doubt = doubt_bin(buffered.doubt)
        self._quality.note(key, doubt)
        request = run.staged.request
        self._ratings.track_answer(
            (request.workspace, request.request_id), key, buffered.doubt
        )
        run.history = (*run.history, (version, doubt))
        if run.is_committed:
            run.cascade.record_delivery(run.cascade_input, run.history)

    def _discard(self, run: CascadeRun, stage_answer: StageAnswer) -> None:
        """Close and report an answer that was escalated.

        A complete answer is kept as the fallback if the next stage fails.
        """
        buffered = stage_answer.answer
        buffered.close()
        if buffered.is_complete:
            run.fallback = stage_answer
        run.staged.report(
            Attempt(
                serving=serving_name(run.staged.request, stage_answer.version),
                replica=buffered.replica.host,
                verdict=Verdict.RAN,
                status=buffered.status,
                tokens=buffered.chunk_count,
                is_whole=buffered.is_complete,
                is_abandoned=not buffered.is_complete,
                first_token_s=buffered.first_chunk_s,
                duration_s=time.monotonic() - buffered.started_s,
            )
        )

    def _fall_back(
        self, run: CascadeRun, failed: Err[RequestFailure]
    ) -> CascadeResult:
        """Return the fallback answer in place of a failed stage.

        The failure is returned if there is no fallback or its version no
        longer takes work.
        """
        fallback = run.fallback
        if fallback is None:
            return failed
        if not self._table.state.takes_work(
            run.staged.request.target, fallback.version
        ):
            return failed
        return Ok(fallback)

    def _cell_key(self, run: CascadeRun, version: str, domain: str) -> CellKey:
        return CellKey(
            run.staged.request.target,
            run.cascade_input.task,
            version,
            run.history[-1][0] if run.history else '',
            domain,
        )

    def _cascade_input(self, request: CallerRequest) -> CascadeRequest | None:
        task = self._quality.known_task(request.task or request.workspace)
        return cascade_request(request, self._table.state, task)

    def _expected_waits(self, request: CallerRequest) -> 'ExpectedWaits':
        return ExpectedWaits(self._routing, request)


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedWaits:
    """Estimates the time to first token of each version."""

    routing: RoutingService
    request: CallerRequest

    def __call__(self, version: str) -> float | None:
        """Return the wait in seconds, or None for an unusable version."""
        return self.routing.wait_s(self.request, version)


def _overloaded_failure() -> RequestFailure:
    return RequestFailure(
        ErrorCode.OVERLOADED,
        'no version can answer before the deadline',
        retry_after_s=1,
    )
