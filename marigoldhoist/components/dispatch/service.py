"""The dispatch service."""

from result import Err, Ok, Result

from marigoldhoist.components.billing.const import COMPONENT as BILLING
from marigoldhoist.components.billing.service import BillingService
from marigoldhoist.components.dispatch.attempts import Attempts
from marigoldhoist.components.dispatch.calls import serving_name
from marigoldhoist.components.dispatch.cascade import Cascade
from marigoldhoist.components.dispatch.const import JSON_TYPE
from marigoldhoist.components.dispatch.events import REQUEST_FAILED
from marigoldhoist.components.dispatch.relaying import Relaying
from marigoldhoist.components.dispatch.stages import (
    Outcome,
    Passage,
    Stage,
    Stages,
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
from marigoldhoist.core.exchange import Answer, CallerRequest
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel
from marigoldhoist.core.verdict import Verdict

Answered = Result[Answer, RequestFailure]


class DispatchService(BaseService):
    """Runs each request on an allowed version and bills it."""

    def __init__(self, kernel: Kernel) -> None:
        self._table = kernel.find(TABLE, TableService)
        self._routing = kernel.find(ROUTING, RoutingService)
        self._attempts = Attempts(kernel)
        self._relaying = Relaying(
            kernel.settings.section(DaemonSettings).host,
            self._table,
            kernel.find(BILLING, BillingService),
            kernel.find(STREAMS, StreamService),
            kernel.settings.section(UpstreamSettings).no_progress_s,
        )
        self._cascade = Cascade(kernel, self._attempts)
        self._stages = Stages()

    def add_stage(self, order: int, stage: Stage) -> None:
        """Put a stage around every request; lower orders admit first."""
        self._stages.add(order, stage)

    def chat(self, request: CallerRequest) -> Answered:
        """Answer a model request."""
        refusal = self._refuse(request)
        if refusal is not None:
            return Err(refusal)
        return self._pass_stages(request, is_chat=True)

    def call_service(self, request: CallerRequest) -> Answered:
        """Pass a request through to a plain service."""
        return self._pass_stages(request, is_chat=False)

    def _refuse(self, request: CallerRequest) -> RequestFailure | None:
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

    def _pass_stages(self, request: CallerRequest, is_chat: bool) -> Answered:
        passage = self._stages.enter(request)
        answered = self._answer_or_fail(passage, is_chat)
        if isinstance(answered, Err):
            failure = answered.err_value
            passage.settle(Outcome(failure.verdict, failure=failure))
        return answered

    def _answer_or_fail(self, passage: Passage, is_chat: bool) -> Answered:
        # Whatever goes wrong here, the stages must learn of an end, and that
        # the request may have run.
        try:
            return self._answer(passage, is_chat)
        except Exception as error:
            emit(REQUEST_FAILED, error=repr(error))
        return Err(
            RequestFailure(
                ErrorCode.INTERNAL, 'internal error', Verdict.MAY_HAVE_RUN
            )
        )

    def _answer(self, passage: Passage, is_chat: bool) -> Answered:
        match passage.stopped_by:
            case RequestFailure() as refusal:
                return Err(refusal)
            case Answer() as answer:
                passage.settle(Outcome(Verdict.RAN, answer.serving))
                return Ok(answer)
        if not is_chat:
            return self._run(passage, '')
        if self._cascade.applies(passage.request):
            return self._cascade.run(passage).map(
                lambda tried: self._answered(
                    passage, tried.version, tried.answer
                )
            )
        chosen = self._routing.choose_version(passage.request)
        return chosen.and_then(lambda version: self._run(passage, version))

    def _run(self, passage: Passage, version: str) -> Answered:
        tried = self._attempts.run(passage, version)
        return tried.map(
            lambda answer: self._answered(passage, version, answer)
        )

    def _answered(
        self, passage: Passage, version: str, answer: UpstreamResponse
    ) -> Answer:
        def resume(
            delivered: int, broken: UpstreamResponse
        ) -> UpstreamResponse | None:
            return self._attempts.resume(passage, version, delivered, broken)

        return Answer(
            status=answer.status,
            content_type=answer.content_type or JSON_TYPE,
            serving=serving_name(passage.request, version),
            body=self._relaying.body(passage, version, answer, resume),
            session_token=self._routing.session_token(passage.request),
        )
