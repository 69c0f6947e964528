"""Pass an answer on to its caller, metered, and bill it at its end."""

import time
from collections.abc import Iterator

import urllib3

from marigoldhoist.components.billing.models import Bill
from marigoldhoist.components.billing.service import BillingService
from marigoldhoist.components.dispatch.calls import serving_name
from marigoldhoist.components.dispatch.const import TOKENS_PER_COST
from marigoldhoist.components.dispatch.metering import BodyMeter, StreamMeter
from marigoldhoist.components.dispatch.stages import (
    Attempt,
    Outcome,
    Passage,
)
from marigoldhoist.components.table.service import TableService
from marigoldhoist.components.upstreams.answer import UpstreamAnswer
from marigoldhoist.core.verdict import Verdict


class Relaying:
    """Relays answers; each is reported, billed and settled once."""

    def __init__(
        self, host: str, table: TableService, billing: BillingService
    ) -> None:
        self._host = host
        self._table = table
        self._billing = billing

    def body(
        self, passage: Passage, version: str, answer: UpstreamAnswer
    ) -> Iterator[bytes]:
        """Yield the answer's body as it comes, then bill it."""
        started_s = time.monotonic()
        meter = StreamMeter() if passage.request.is_streamed else BodyMeter()
        first_token_s: float = 0
        try:
            for chunk in answer.chunks():
                first_token_s = first_token_s or time.monotonic() - started_s
                meter.feed(chunk)
                yield chunk
            meter.end()
        except urllib3.exceptions.HTTPError:
            meter.is_whole = False
        finally:
            answer.close()
            attempt = Attempt(
                serving=serving_name(passage.request, version),
                replica=answer.replica.host,
                verdict=Verdict.RAN,
                status=answer.status,
                tokens=meter.tokens,
                is_whole=meter.is_whole,
                first_token_s=first_token_s,
                duration_s=time.monotonic() - started_s,
            )
            self._finish(passage, version, attempt)

    def _finish(self, passage: Passage, version: str, attempt: Attempt) -> None:
        request = passage.request
        row = self._table.state.version(request.target, version)
        price = row.cost_per_1k_tokens if row else 0
        cost = price * attempt.tokens / TOKENS_PER_COST
        passage.report(attempt)
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
        passage.settle(
            Outcome(
                verdict=attempt.verdict,
                serving=attempt.serving,
                status=attempt.status,
                tokens=attempt.tokens,
                cost=cost,
                is_whole=attempt.is_whole,
            )
        )
