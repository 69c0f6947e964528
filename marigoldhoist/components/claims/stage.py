"""Claim non-repeatable requests before they run and log the outcomes."""

import threading
import uuid
from concurrent.futures import CancelledError

from marigoldhoist.components.claims.const import (
    CLAIM_KIND,
    CLOCK_SKEW_TOLERANCE_MS,
    MAX_RECORDED_BODY_BYTES,
    OUTCOME_KIND,
)
from marigoldhoist.components.claims.events import CLAIM_UNKNOWN
from marigoldhoist.components.claims.fold import ClaimFold
from marigoldhoist.components.claims.ids import request_time_ms
from marigoldhoist.components.claims.models import (
    ClaimBody,
    OutcomeBody,
    RequestKey,
)
from marigoldhoist.components.claims.refusals import (
    existing_result,
    log_unavailable,
    no_timestamp,
    not_covered,
    timestamp_in_future,
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
    """Admit a non-repeatable request only if its own claim wins."""

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
        self._claim_id_by_key: dict[RequestKey, str] = {}
        self.fold = ClaimFold(settings.window_ms)

    def admit(self, request: CallerRequest) -> Admission:
        """Claim the request, or return a response if it may not run.

        Repeatable requests pass without a claim.
        """
        if request.is_repeatable:
            return None
        key = RequestKey(request.workspace, request.request_id)
        result = existing_result(self.fold.find(key))
        if result is not None:
            return result
        return self._check_age(key) or self._claim(key, request)

    def settle(self, request: CallerRequest, outcome: Outcome) -> None:
        """Log the outcome of a request that holds a claim."""
        key = RequestKey(request.workspace, request.request_id)
        with self._lock:
            claim_id = self._claim_id_by_key.pop(key, '')
        if claim_id:
            self._writer.submit_with_retry(
                _outcome_record(key, claim_id, outcome)
            )

    def _check_age(self, key: RequestKey) -> Admission:
        request_ms = request_time_ms(key.request_id)
        if request_ms is None:
            return no_timestamp()
        now_ms = max(self._clock.now_ms(), self.fold.newest_ms)
        if request_ms > now_ms + CLOCK_SKEW_TOLERANCE_MS:
            return timestamp_in_future()
        if request_ms < now_ms - self._settings.window_ms:
            return too_old()
        if not self.fold.covers(request_ms):
            return not_covered()
        return None

    def _claim(self, key: RequestKey, request: CallerRequest) -> Admission:
        if self._writer.is_failing:
            return log_unavailable()
        body = ClaimBody(key.workspace, key.request_id, self._host)
        record = new_record(CLAIM_KIND, body, f'claim-{uuid.uuid4().hex}')
        timeout_s = min(self._settings.claim_timeout_s, request.time_left_s)
        if self._append_and_read_back(record, timeout_s):
            return self._resolve_claim(key, record.id)
        if not self._writer.cancel(record.id):
            emit(CLAIM_UNKNOWN, claim=record.id)
            not_run = Outcome(Verdict.NOT_RUN)
            self._writer.submit_with_retry(
                _outcome_record(key, record.id, not_run)
            )
        return log_unavailable()

    def _append_and_read_back(self, record: Record, timeout_s: float) -> bool:
        deadline_s = self._clock.monotonic_s() + timeout_s
        appended = self._writer.submit(record)
        try:
            offset = appended.result(timeout_s)
        except (TimeoutError, CancelledError):
            return False
        if offset is None:
            return False
        remaining_s = max(0, deadline_s - self._clock.monotonic_s())
        return self._feed.wait_until_folded(offset, remaining_s)

    def _resolve_claim(self, key: RequestKey, claim_id: str) -> Admission:
        state = self.fold.find(key)
        if state.holder == claim_id:
            with self._lock:
                self._claim_id_by_key[key] = claim_id
            return None
        return existing_result(state) or too_old()


def _outcome_record(key: RequestKey, claim_id: str, outcome: Outcome) -> Record:
    has_answer = (
        outcome.verdict is Verdict.RAN
        and outcome.is_whole
        and len(outcome.body) <= MAX_RECORDED_BODY_BYTES
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
