"""Lifecycle of one caller's request, from admission to final response."""

import asyncio
import contextlib

from marigoldhoist.components.configuration.models import Route
from marigoldhoist.components.gateway import handover_headers
from marigoldhoist.components.gateway.attempts import Attempts
from marigoldhoist.components.gateway.connection import HttpConnection
from marigoldhoist.components.gateway.const import FLUSH_TIMEOUT_S
from marigoldhoist.components.gateway.context import GatewayContext
from marigoldhoist.components.gateway.deliveries import (
    ResponseWriter,
    deliver,
    delivery_by_kind,
)
from marigoldhoist.components.gateway.errors import RefusedError
from marigoldhoist.components.gateway.events import (
    CALL_TAKEN_OVER,
    CALLER_LEFT,
    CALLER_STALLED,
    REQUEST_BROKEN_OFF,
    REQUEST_ENDED,
    REQUEST_FAILED,
)
from marigoldhoist.components.gateway.messages import Header
from marigoldhoist.components.gateway.models import Call
from marigoldhoist.components.gateway.progress import CallProgress
from marigoldhoist.components.gateway.request_log import RequestLog
from marigoldhoist.components.handover.models import Handover
from marigoldhoist.components.placement.model_escalation import first_model
from marigoldhoist.core.errors import ErrorCode, RequestFailure


class Exchange:
    """Serves one call on a caller's connection."""

    def __init__(
        self,
        call: Call,
        connection: HttpConnection,
        context: GatewayContext,
        *,
        should_close: bool,
        handover: Handover | None = None,
    ) -> None:
        self._call = call
        self._context = context
        self._handover = handover
        self._writer = ResponseWriter(
            connection,
            context,
            should_close=should_close,
            extra_headers=self._handover_headers,
        )
        self._progress = CallProgress(
            call,
            RequestLog(context.log_limiter),
            last_event_id=call.resume_after,
            send_count=handover.send_count if handover else 0,
            is_handed_over=handover is not None,
        )
        self._attempts = Attempts(self._progress, context)

    async def run(self) -> bool:
        """Serve the call; return whether its connection can be reused."""
        is_reusable = await self._respond()
        try:
            await self._writer.flush(FLUSH_TIMEOUT_S)
        except TimeoutError:
            self._progress.note(CALLER_STALLED, waited_s=FLUSH_TIMEOUT_S)
            self._writer.abort()
            return False
        return is_reusable

    async def _respond(self) -> bool:
        """Write the response; return whether its connection can be reused."""
        try:
            await self._serve()
        except RefusedError as error:
            return self._fail(error.failure)
        except TimeoutError:
            return self._fail(self._attempts.deadline_failure())
        except asyncio.CancelledError:
            self._record_disconnect()
            raise
        self._record_success()
        return not self._writer.should_close

    async def _serve(self) -> None:
        self._record_handover()
        route = self._attempts.admit().route
        self._require_time_to_finish(route)
        self._progress.model = self._first_model(route)
        if not self._progress.send_count:
            # One that was sent already counts where that was done.
            self._context.retry_budgets.note_request(self._progress.service)
        delivery = delivery_by_kind[route.kind](
            self._progress, self._attempts, self._writer, self._context
        )
        async with self._time_limit(route):
            await deliver(route, delivery, self._attempts)

    def _time_limit(
        self, route: Route
    ) -> contextlib.AbstractAsyncContextManager[object]:
        """Return the time limit of the call, which a stop may bring forward."""
        time_left_s = self._progress.time_left_s
        if route.is_stream:
            return asyncio.timeout(time_left_s)
        shutdown = self._context.shutdown_progress()
        if shutdown is not None:
            time_left_s = min(time_left_s, shutdown.answer_time_left_s)
        return self._context.call_timeouts.within(time_left_s)

    def _require_time_to_finish(self, route: Route) -> None:
        """Raise RefusedError if a graceful stop would abort the response."""
        shutdown = self._context.shutdown_progress()
        if shutdown is None or shutdown.accepts(
            is_stream=route.is_stream,
            is_repeatable=route.is_repeatable,
            allowed_s=self._progress.time_left_s,
        ):
            return
        raise RefusedError(
            self._context.admission.refusal(
                ErrorCode.DRAINING,
                f'told to stop {shutdown.elapsed_s:.1f} s ago',
                0,
            )
        )

    def _first_model(self, route: Route) -> str:
        prompt = self._call.prompt
        if prompt is None:
            return ''
        if self._handover and self._handover.model in route.models:
            return self._handover.model
        return first_model(route.models) or prompt.model

    def _record_handover(self) -> None:
        if self._handover is None:
            return
        self._progress.note(
            CALL_TAKEN_OVER,
            from_host=self._handover.from_host,
            sends=self._handover.send_count,
            model=self._handover.model,
            left_s=round(self._progress.time_left_s, 3),
        )

    def _handover_headers(self) -> list[Header]:
        """Return the headers for the daemon that handed the call over."""
        if self._handover is None:
            return []
        progress = self._progress
        return handover_headers.response_headers(
            progress.serving_host, progress.send_count
        )

    def _fail(self, failure: RequestFailure) -> bool:
        """Write a failure response, or abort a response that has started."""
        progress = self._progress
        progress.note(
            REQUEST_BROKEN_OFF
            if progress.has_stream_started
            else REQUEST_FAILED,
            code=failure.code.value,
            reason=failure.message,
            verdict=failure.verdict.value,
            sends=progress.send_count,
            status=failure.http_status,
            retry_after_s=failure.retry_after_s,
            path=self._call.path,
            **self._context.admission.configuration_fields(),
        )
        progress.log.flush_held()
        outcome = 'broken_off' if progress.has_stream_started else 'failed'
        self._count_outcome(outcome, failure.code.value)
        if progress.has_stream_started:
            self._writer.abort()
            return False
        self._writer.end_with(
            self._context.dialect.failure_response(
                self._call.request_id, failure
            )
        )
        return not self._writer.should_close

    def _record_success(self) -> None:
        progress = self._progress
        first_event_s = progress.first_event_s
        progress.note(
            REQUEST_ENDED,
            replica=progress.serving_host,
            model=progress.model,
            sends=progress.send_count,
            events=progress.last_event_id,
            first_s=None if first_event_s is None else round(first_event_s, 4),
        )
        progress.log.discard_held()
        self._count_outcome('served', '')
        metrics = self._context.metrics
        metrics.request_seconds.record(progress.elapsed_s)
        if first_event_s is not None:
            metrics.first_event_seconds.record(first_event_s)

    def _record_disconnect(self) -> None:
        progress = self._progress
        progress.note(
            CALLER_LEFT,
            replica=progress.last_host,
            sends=progress.send_count,
            events=progress.last_event_id,
            left_s=round(progress.time_left_s, 3),
        )
        progress.log.flush_held()
        self._count_outcome('left', '')

    def _count_outcome(self, outcome: str, reason: str) -> None:
        self._context.metrics.requests.labels(
            self._progress.service, outcome, reason
        ).inc()
