"""Meter answers while they are relayed and bill them at their end."""

import dataclasses
import time
from collections.abc import Iterator

import urllib3

from marigoldhoist.components.billing.models import Bill
from marigoldhoist.components.billing.service import BillingService
from marigoldhoist.components.dispatch.bodies import (
    OnEnd,
    Resume,
    StreamBody,
    StreamEnd,
)
from marigoldhoist.components.dispatch.calls import serving_name
from marigoldhoist.components.dispatch.const import TOKENS_PER_PRICE_UNIT
from marigoldhoist.components.dispatch.errors import AnswerCutError
from marigoldhoist.components.dispatch.metering import BodyMeter
from marigoldhoist.components.dispatch.stages import (
    Attempt,
    Outcome,
    StagedRequest,
)
from marigoldhoist.components.streams.service import StreamService
from marigoldhoist.components.table.service import TableService
from marigoldhoist.components.upstreams.response import UpstreamResponse
from marigoldhoist.core.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedBody:
    """Response that is kept for replay; empty body for a stream."""

    content_type: str
    body: bytes


class AnswerRelay:
    """Relays answers and reports, bills and settles each of them once."""

    def __init__(
        self,
        host: str,
        table: TableService,
        billing: BillingService,
        streams: StreamService,
        no_progress_s: float,
    ) -> None:
        self._host = host
        self._table = table
        self._billing = billing
        self._streams = streams
        self._no_progress_s = no_progress_s

    def metered_body(
        self,
        staged: StagedRequest,
        version: str,
        answer: UpstreamResponse,
        resume: Resume,
    ) -> Iterator[bytes]:
        """Return an iterator of the body that bills the answer at its end.

        The iterator raises AnswerCutError if the answer is truncated.
        """
        started_s = time.monotonic()

        def finish(end: StreamEnd) -> None:
            attempt = Attempt(
                serving=serving_name(staged.request, version),
                replica=answer.replica.host,
                verdict=Verdict.RAN,
                status=answer.status,
                tokens=end.tokens,
                is_whole=end.is_whole,
                is_abandoned=end.is_abandoned,
                first_token_s=end.first_token_s,
                duration_s=time.monotonic() - started_s,
            )
            self._finish(staged, version, attempt, _recorded_body(answer, end))

        if answer.is_event_stream:
            return StreamBody(
                answer, self._streams, self._no_progress_s, finish, resume
            )
        return _unstreamed_body(answer, finish)

    def _finish(
        self,
        staged: StagedRequest,
        version: str,
        attempt: Attempt,
        recorded: RecordedBody,
    ) -> None:
        request = staged.request
        row = self._table.state.version(request.target, version)
        price = row.cost_per_1k_tokens if row else 0
        cost = price * attempt.tokens / TOKENS_PER_PRICE_UNIT
        staged.report(attempt)
        self._billing.charge(
            Bill(
                workspace=request.workspace,
                request_id=request.request_id,
                serving=attempt.serving,
                tokens=attempt.tokens,
                cost=cost,
                is_whole=attempt.is_whole,
                host=self._host,
            )
        )
        staged.settle(
            Outcome(
                verdict=attempt.verdict,
                serving=attempt.serving,
                status=attempt.status,
                tokens=attempt.tokens,
                cost=cost,
                is_whole=attempt.is_whole,
                content_type=recorded.content_type,
                body=recorded.body,
            )
        )


def _recorded_body(answer: UpstreamResponse, end: StreamEnd) -> RecordedBody:
    return RecordedBody(answer.content_type, end.body)


def _unstreamed_body(
    answer: UpstreamResponse, on_end: OnEnd
) -> Iterator[bytes]:
    meter = BodyMeter()
    failure: Exception | None = None
    try:
        for chunk in answer.chunks():
            meter.feed(chunk)
            yield chunk
        meter.finish()
    except urllib3.exceptions.HTTPError as error:
        failure = error
    finally:
        answer.close()
        is_abandoned = failure is None and not meter.is_whole
        on_end(
            StreamEnd(meter.tokens, meter.is_whole, 0, meter.body, is_abandoned)
        )
    if failure is not None:
        raise AnswerCutError(str(failure)) from failure
