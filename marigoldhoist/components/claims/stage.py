"""Claim each order before it runs, and write down how it ended."""

import threading
import uuid
from concurrent.futures import CancelledError

from marigoldhoist.components.claims.const import (
    CLAIM_KIND,
    FUTURE_TOLERANCE_MS,
    OUTCOME_KIND,
    RECORDED_BODY_BYTES,
)
from marigoldhoist.components.claims.events import CLAIM_UNKNOWN
from marigoldhoist.components.claims.fold import ClaimFold
from marigoldhoist.components.claims.ids import order_time_ms
from marigoldhoist.components.claims.models import (
    ClaimBody,
    OrderKey,
    OutcomeBody,
)
from marigoldhoist.components.claims.refusals import (
    already_known,
    in_the_future,
    log_unavailable,
    no_order_time,
    not_covered,
    too_old,
)
from marigoldhoist.components.claims.settings import ClaimSettings
from marigoldhoist.components.dispatch.stages import Admission, Outcome, Stage
from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.components.platform_log.models import Record, new_record
from marigoldhoist.components.platform_log.work_writer import RecordWriter
from marigoldhoist.core.clock import SYSTEM_CLOCK, Clock
from marigoldhoist.core.events import emit
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.verdict import Verdict


class ClaimStage(Stage):
    """Lets an order pass only when its own claim is the winner."""

    def __init__(
        self,
        host: str,
        settings: ClaimSettings,
        feed: Feed,
        writer: RecordWriter,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        self._host = host
        self._settings = settings
        self._feed = feed
        self._writer = writer
        self._clock = clock
        self._lock = threading.Lock()
        self._claim_by_key: dict[OrderKey, str] = {}
        self.fold = ClaimFold(settings.window_ms)

    def admit(self, request: CallerRequest) -> Admission:
        """Claim the order, or say why it may not run."""
        if request.is_repeatable:
            return None
        key = OrderKey(request.workspace, request.request_id)
        known = already_known(self.fold.find(key))
        if known is not None:
            return known
        return self._refuse_by_age(key) or self._claim(key, request)

    def settle(self, request: CallerRequest, outcome: Outcome) -> None:
        """Write down how the order ended."""
        key = OrderKey(request.workspace, request.request_id)
        with self._lock:
            claim_id = self._claim_by_key.pop(key, '')
        if claim_id:
            self._writer.keep(_outcome_record(key, claim_id, outcome))

    def _refuse_by_age(self, key: OrderKey) -> Admission:
        order_ms = order_time_ms(key.request_id)
        if order_ms is None:
            return no_order_time()
        now_ms = max(self._clock.now_ms(), self.fold.newest_ms)
        if order_ms > now_ms + FUTURE_TOLERANCE_MS:
            return in_the_future()
        if order_ms < now_ms - self._settings.window_ms:
            return too_old()
        if not self.fold.covers(order_ms):
            return not_covered()
        return None

    def _claim(self, key: OrderKey, request: CallerRequest) -> Admission:
        if self._writer.is_failing:
            return log_unavailable()
        body = ClaimBody(key.workspace, key.request_id, self._host)
        record = new_record(CLAIM_KIND, body, f'claim-{uuid.uuid4().hex}')
        timeout_s = min(self._settings.claim_timeout_s, request.time_left_s)
        if self._is_read_back(record, timeout_s):
            return self._judge(key, record.id)
        if not self._writer.cancel(record.id):
            emit(CLAIM_UNKNOWN, claim=record.id)
            unclaimed = Outcome(Verdict.NOT_RUN)
            self._writer.keep(_outcome_record(key, record.id, unclaimed))
        return log_unavailable()

    def _is_read_back(self, record: Record, timeout_s: float) -> bool:
        deadline_s = self._clock.monotonic_s() + timeout_s
        waiting = self._writer.submit(record)
        try:
            offset = waiting.result(timeout_s)
        except (TimeoutError, CancelledError):
            return False
        if offset is None:
            return False
        left_s = max(0, deadline_s - self._clock.monotonic_s())
        return self._feed.wait_past(offset, left_s)

    def _judge(self, key: OrderKey, claim_id: str) -> Admission:
        order = self.fold.find(key)
        if order.holder == claim_id:
            with self._lock:
                self._claim_by_key[key] = claim_id
            return None
        return already_known(order) or too_old()


def _outcome_record(key: OrderKey, claim_id: str, outcome: Outcome) -> Record:
    has_answer = (
        outcome.verdict is Verdict.RAN
        and outcome.is_whole
        and len(outcome.body) <= RECORDED_BODY_BYTES
    )
    body = OutcomeBody(
        workspace=key.workspace,
        request_id=key.request_id,
        claim_id=claim_id,
        verdict=outcome.verdict,
        status=outcome.status,
        serving=outcome.serving,
        content_type=outcome.content_type,
        body=outcome.body if has_answer else b'',
        has_answer=has_answer,
    )
    return new_record(OUTCOME_KIND, body, f'{claim_id}-outcome')
