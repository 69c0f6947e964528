"""Service that dispatches requests to replicas."""

from result import Err, Ok, Result

from marigoldhoist.components.billing.const import COMPONENT as BILLING
from marigoldhoist.components.billing.service import BillingService
from marigoldhoist.components.dispatch.answer_relay import AnswerRelay
from marigoldhoist.components.dispatch.attempts import AttemptRunner
from marigoldhoist.components.dispatch.calls import serving_name
from marigoldhoist.components.dispatch.cascade import Cascade
from marigoldhoist.components.dispatch.const import JSON_TYPE
from marigoldhoist.components.dispatch.events import REQUEST_FAILED
from marigoldhoist.components.dispatch.stages import (
    Outcome,
    Stage,
    StagedRequest,
    StagePipeline,
)
from marigoldhoist.components.routing.const import COMPONENT as ROUTING
from marigoldhoist.components.routing.service import RoutingService
from marigoldhoist.components.streams.const import COMPONENT as STREAMS
from marigoldhoist.components.streams.service import StreamService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from marigoldhoist.components.upstreams.response import UpstreamResponse
from marigoldhoist.components.upstreams.settings import UpstreamSettings
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.events import emit
from marigoldhoist.core.exchange import CallerRequest, CallerResponse
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel
from marigoldhoist.core.verdict import Verdict

AnswerResult = Result[CallerResponse, RequestFailure]


class DispatchService(BaseService):
    """Routes each request to an allowed version and bills its answer."""

    def __init__(self, kernel: Kernel) -> None:
        self._table = kernel.find(TABLE, TableService)
        self._routing = kernel.find(ROUTING, RoutingService)
        self._attempts = AttemptRunner(kernel)
        self._relay = AnswerRelay(
            kernel.settings.section(DaemonSettings).host,
            self._table,
            kernel.find(BILLING, BillingService),
            kernel.find(STREAMS, StreamService),
            kernel.settings.section(UpstreamSettings).no_progress_s,
        )
        self._cascade = Cascade(kernel, self._attempts)
        self._stages = StagePipeline()

    def add_stage(self, order: int, stage: Stage) -> None:
        """Add a stage to every request; lower orders admit first."""
        self._stages.add(order, stage)

    def chat(self, request: CallerRequest) -> AnswerResult:
        """Answer a chat completion request."""
        refusal = self._access_refusal(request)
        if refusal is not None:
            return Err(refusal)
        return self._pass_stages(request, is_chat=True)

    def call_service(self, request: CallerRequest) -> AnswerResult:
        """Forward a request to a plain service."""
        return self._pass_stages(request, is_chat=False)

    def _access_refusal(self, request: CallerRequest) -> RequestFailure | None:
        state = self._table.state
        workspace = state.workspace(request.workspace)
        if workspace is None:
            return RequestFailure(ErrorCode.UNAUTHORIZED, 'unknown workspace')
        if state.model(request.target) is None:
            return RequestFailure(
                ErrorCode.UNKNOWN_MODEL, f'no model {request.target!r}'
            )
        if request.target not in workspace.versions_by_model:
            return RequestFailure(
                ErrorCode.MODEL_NOT_ALLOWED,
                f'workspace may not use {request.target!r}',
            )
        return None

    def _pass_stages(
        self, request: CallerRequest, is_chat: bool
    ) -> AnswerResult:
        staged = self._stages.enter(request)
        answer_result = self._answer_or_fail(staged, is_chat)
        if isinstance(answer_result, Err):
            failure = answer_result.err_value
            staged.settle(Outcome(failure.verdict, failure=failure))
        return answer_result

    def _answer_or_fail(
        self, staged: StagedRequest, is_chat: bool
    ) -> AnswerResult:
        # After any exception, the stages must still be settled, with the
        # verdict that the request may have run.
        try:
            return self._answer(staged, is_chat)
        except Exception as error:
            emit(REQUEST_FAILED, error=repr(error))
        return Err(
            RequestFailure(
                ErrorCode.INTERNAL, 'internal error', Verdict.MAY_HAVE_RUN
            )
        )

    def _answer(self, staged: StagedRequest, is_chat: bool) -> AnswerResult:
        match staged.admission:
            case RequestFailure() as refusal:
                return Err(refusal)
            case CallerResponse() as answer:
                staged.settle(Outcome(Verdict.RAN, answer.serving))
                return Ok(answer)
        if not is_chat:
            return self._run_version(staged, '')
        if self._cascade.applies(staged.request):
            return self._cascade.run(staged).map(
                lambda delivered: self._build_answer(
                    staged, delivered.version, delivered.answer
                )
            )
        chosen = self._routing.choose_version(staged.request)
        return chosen.and_then(
            lambda version: self._run_version(staged, version)
        )

    def _run_version(self, staged: StagedRequest, version: str) -> AnswerResult:
        attempt_result = self._attempts.run(staged, version)
        return attempt_result.map(
            lambda answer: self._build_answer(staged, version, answer)
        )

    def _build_answer(
        self, staged: StagedRequest, version: str, answer: UpstreamResponse
    ) -> CallerResponse:
        def resume(
            delivered: int, broken: UpstreamResponse
        ) -> UpstreamResponse | None:
            return self._attempts.resume(staged, version, delivered, broken)

        return CallerResponse(
            status=answer.status,
            content_type=answer.content_type or JSON_TYPE,
            serving=serving_name(staged.request, version),
            body=self._relay.metered_body(staged, version, answer, resume),
            session_token=self._routing.session_token(staged.request),
        )
