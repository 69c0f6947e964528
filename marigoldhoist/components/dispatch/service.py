"""The dispatch service."""

from collections.abc import Iterator

import msgspec
import urllib3
from result import Err, Ok, Result

from marigoldhoist.components.billing.const import COMPONENT as BILLING
from marigoldhoist.components.billing.models import Bill
from marigoldhoist.components.billing.service import BillingService
from marigoldhoist.components.dispatch.const import (
    CHAT_PATH,
    DEADLINE_HEADER,
    HTTP_SERVER_ERROR,
    JSON_TYPE,
    MAX_ATTEMPTS,
    REQUEST_ID_HEADER,
    TOKENS_PER_COST,
)
from marigoldhoist.components.dispatch.metering import BodyMeter, StreamMeter
from marigoldhoist.components.dispatch.models import Answer, CallerRequest
from marigoldhoist.components.routing.const import COMPONENT as ROUTING
from marigoldhoist.components.routing.service import RoutingService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from marigoldhoist.components.upstreams.answer import UpstreamAnswer
from marigoldhoist.components.upstreams.const import COMPONENT as UPSTREAMS
from marigoldhoist.components.upstreams.models import Replica, UpstreamCall
from marigoldhoist.components.upstreams.service import UpstreamService
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel
from marigoldhoist.core.verdict import Verdict


class DispatchService(BaseService):
    """Runs each request on an allowed version and bills it."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._host = kernel.settings.section(DaemonSettings).host
        self._table = kernel.find(TABLE, TableService)
        self._routing = kernel.find(ROUTING, RoutingService)
        self._upstreams = kernel.find(UPSTREAMS, UpstreamService)
        self._billing = kernel.find(BILLING, BillingService)

    def chat(self, request: CallerRequest) -> Result[Answer, RequestFailure]:
        """Answer a model request."""
        refusal = self._refuse(request)
        if refusal is not None:
            return Err(refusal)
        chosen = self._routing.choose_version(
            request.workspace,
            request.target,
            request.session or request.request_id,
        )
        if isinstance(chosen, Err):
            return chosen
        return self._try_replicas(request, chosen.ok_value)

    def call_service(
        self, request: CallerRequest
    ) -> Result[Answer, RequestFailure]:
        """Pass a request through to a plain service."""
        return self._try_replicas(request, '')

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

    def _try_replicas(
        self, request: CallerRequest, version: str
    ) -> Result[Answer, RequestFailure]:
        tried: frozenset[str] = frozenset()
        outcome: Result[Answer, RequestFailure] = Err(
            RequestFailure(ErrorCode.DEADLINE_EXCEEDED, 'no time left')
        )
        for _ in range(MAX_ATTEMPTS):
            replica = self._routing.choose_replica(
                _serving(request, version), tried
            )
            if isinstance(replica, Err):
                return outcome if tried else replica
            tried |= {replica.ok_value.host}
            outcome = self._attempt(request, version, replica.ok_value)
            if not _may_try_again(request, outcome):
                return outcome
        return outcome

    def _attempt(
        self, request: CallerRequest, version: str, replica: Replica
    ) -> Result[Answer, RequestFailure]:
        if request.time_left_s <= 0:
            return Err(
                RequestFailure(ErrorCode.DEADLINE_EXCEEDED, 'no time left')
            )
        if version and not self._table.state.takes_work(
            request.target, version
        ):
            return Err(
                RequestFailure(ErrorCode.NO_VERSION, 'version was withdrawn')
            )
        sent = self._upstreams.send(replica, _upstream_call(request, version))
        return sent.and_then(
            lambda answer: self._accept(request, version, answer)
        )

    def _accept(
        self, request: CallerRequest, version: str, answer: UpstreamAnswer
    ) -> Result[Answer, RequestFailure]:
        if answer.status >= HTTP_SERVER_ERROR and version:
            answer.close()
            return Err(
                RequestFailure(
                    ErrorCode.UPSTREAM_FAILED,
                    f'upstream answered {answer.status}',
                    Verdict.MAY_HAVE_RUN,
                )
            )
        return Ok(
            Answer(
                status=answer.status,
                content_type=answer.content_type or JSON_TYPE,
                serving=_serving(request, version),
                body=self._metered(request, version, answer),
            )
        )

    def _metered(
        self, request: CallerRequest, version: str, answer: UpstreamAnswer
    ) -> Iterator[bytes]:
        meter = StreamMeter() if request.is_streamed else BodyMeter()
        is_whole = False
        try:
            for chunk in answer.chunks():
                meter.feed(chunk)
                yield chunk
            is_whole = meter.is_whole
        except urllib3.exceptions.HTTPError:
            is_whole = False
        finally:
            answer.close()
            self._charge(request, version, meter.tokens, is_whole)

    def _charge(
        self, request: CallerRequest, version: str, tokens: int, is_whole: bool
    ) -> None:
        row = self._table.state.version(request.target, version)
        cost_per_1k = row.cost_per_1k_tokens if row else 0
        self._billing.charge(
            Bill(
                workspace=request.workspace,
                request_id=request.request_id,
                serving=_serving(request, version),
                tokens=tokens,
                cost=cost_per_1k * tokens / TOKENS_PER_COST,
                is_whole=is_whole,
                host=self._host,
            )
        )


def _serving(request: CallerRequest, version: str) -> str:
    return f'{request.target}/{version}' if version else request.target


def _may_try_again(
    request: CallerRequest, outcome: Result[Answer, RequestFailure]
) -> bool:
    if isinstance(outcome, Ok):
        return False
    failure = outcome.err_value
    if failure.code is not ErrorCode.UPSTREAM_FAILED:
        return False
    return request.is_repeatable or failure.verdict.allows_retry


def _upstream_call(request: CallerRequest, version: str) -> UpstreamCall:
    body = request.body
    path = request.path
    if version:
        path = CHAT_PATH
        body = _with_version(body, _serving(request, version))
    return UpstreamCall(
        method=request.method,
        path=path,
        headers={
            'Content-Type': request.content_type,
            REQUEST_ID_HEADER: request.request_id,
            DEADLINE_HEADER: str(int(request.time_left_s * MS_PER_S)),
        },
        body=body,
        timeout_s=request.time_left_s,
    )


def _with_version(body: bytes, serving: str) -> bytes:
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields['model'] = msgspec.Raw(msgspec.json.encode(serving))
    return msgspec.json.encode(fields)
