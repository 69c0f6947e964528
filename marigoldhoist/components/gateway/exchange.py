"""One caller's request, from its head to its final answer."""

import asyncio

from marigoldhoist.components.configuration.models import Route
from marigoldhoist.components.gateway.attempts import Attempts
from marigoldhoist.components.gateway.connection import HttpConnection
from marigoldhoist.components.gateway.context import (
    GatewayContext,
    RefusedError,
)
from marigoldhoist.components.gateway.deliveries import (
    Caller,
    deliver,
    delivery_by_kind,
)
from marigoldhoist.components.gateway.events import (
    CALLER_LEFT,
    REQUEST_BROKEN_OFF,
    REQUEST_ENDED,
    REQUEST_FAILED,
)
from marigoldhoist.components.gateway.models import Call
from marigoldhoist.components.gateway.progress import CallProgress
from marigoldhoist.components.gateway.request_log import RequestLog
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
        closes: bool,
    ) -> None:
        self._call = call
        self._context = context
        self._caller = Caller(connection, context, closes=closes)
        self._progress = CallProgress(
            call, RequestLog(context.logs), last_event=call.resume_after
        )
        self._attempts = Attempts(self._progress, context)

    async def run(self) -> bool:
        """Serve the call; return whether its connection may be used again."""
        try:
            await self._serve()
        except RefusedError as refused:
            return await self._fail(refused.failure)
        except TimeoutError:
            return await self._fail(self._attempts.time_is_up())
        except asyncio.CancelledError:
            self._note_left()
            raise
        self._note_end()
        return not self._caller.closes

    async def _serve(self) -> None:
        route = self._attempts.admit().route
        self._require_time_to_finish(route)
        self._progress.model = self._first_model(route)
        self._context.repeats.note_request(self._progress.service)
        delivery = delivery_by_kind[route.kind](
            self._progress, self._attempts, self._caller, self._context
        )
        async with asyncio.timeout(self._progress.left_s):
            await deliver(route, delivery, self._attempts)

    def _require_time_to_finish(self, route: Route) -> None:
        """Raise RefusedError where a stop would cut the answer."""
        clock = self._context.stop_clock()
        if clock is None or clock.takes(is_stream=route.is_stream):
            return
        raise RefusedError(
            self._context.admission.refusal(
                ErrorCode.DRAINING,
                f'told to stop {clock.since_s:.1f} s ago',
                0,
            )
        )

    def _first_model(self, route: Route) -> str:
        prompt = self._call.prompt
        if prompt is None:
            return ''
        return first_model(route.models) or prompt.model

    async def _fail(self, failure: RequestFailure) -> bool:
        """End with the daemon's own answer, or cut what has begun."""
        progress = self._progress
        progress.note(
            REQUEST_BROKEN_OFF if progress.has_begun else REQUEST_FAILED,
            code=failure.code.value,
            reason=failure.message,
            verdict=failure.verdict.value,
            sends=progress.sends,
            status=failure.http_status,
            retry_after_s=failure.retry_after_s,
            path=self._call.path,
            **self._context.admission.belief(),
        )
        progress.log.flush_held()
        outcome = 'broken_off' if progress.has_begun else 'failed'
        self._count(outcome, failure.code.value)
        if progress.has_begun:
            self._caller.cut()
            return False
        await self._caller.send(
            self._context.dialect.failure_response(
                self._call.request_id, failure
            )
        )
        return not self._caller.closes

    def _note_end(self) -> None:
        progress = self._progress
        first_s = progress.first_s
        progress.note(
            REQUEST_ENDED,
            replica=progress.served_by,
            model=progress.model,
            sends=progress.sends,
            events=progress.last_event,
            first_s=None if first_s is None else round(first_s, 4),
        )
        progress.log.discard_held()
        self._count('served', '')
        metrics = self._context.metrics
        metrics.request_seconds.record(progress.elapsed_s)
        if first_s is not None:
            metrics.first_event_seconds.record(first_s)

    def _note_left(self) -> None:
        progress = self._progress
        progress.note(
            CALLER_LEFT,
            replica=progress.asked,
            sends=progress.sends,
            events=progress.last_event,
            left_s=round(progress.left_s, 3),
        )
        progress.log.flush_held()
        self._count('left', '')

    def _count(self, outcome: str, reason: str) -> None:
        self._context.metrics.requests.labels(
            self._progress.service, outcome, reason
        ).inc()
