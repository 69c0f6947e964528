"""Deliver streams event by event, resuming at another replica on failure."""

from collections.abc import AsyncIterator, Iterator

from marigoldhoist.components.configuration.models import RequestKind, Route
from marigoldhoist.components.gateway.attempts import Attempts
from marigoldhoist.components.gateway.context import GatewayContext
from marigoldhoist.components.gateway.deliveries import (
    ResponseWriter,
    register_delivery,
)
from marigoldhoist.components.gateway.errors import (
    AttemptError,
    MalformedMessageError,
)
from marigoldhoist.components.gateway.event_interval import EventIntervalMeter
from marigoldhoist.components.gateway.events import MODEL_RAISED
from marigoldhoist.components.gateway.messages import LAST_CHUNK
from marigoldhoist.components.gateway.progress import CallProgress
from marigoldhoist.components.gateway.replica_response import ReplicaResponse
from marigoldhoist.components.gateway.splitter import (
    EventSplitter,
    StreamEvent,
)
from marigoldhoist.components.placement.model_escalation import (
    EscalationContext,
    choose_larger_model,
)
from marigoldhoist.core.verdict import Verdict


@register_delivery(RequestKind.STREAM)
class StreamDelivery:
    """Forwards complete events, so that another replica can resume."""

    def __init__(
        self,
        progress: CallProgress,
        attempts: Attempts,
        writer: ResponseWriter,
        context: GatewayContext,
    ) -> None:
        self._progress = progress
        self._attempts = attempts
        self._writer = writer
        self._context = context

    async def attempt(self, route: Route) -> bool:
        """Forward one replica's stream; return False to try another one."""
        progress = self._progress
        async with self._attempts.send() as response:
            if not response.is_success:
                return await self._forward_failure(route, response)
            if not progress.has_stream_started and self._escalate_model(
                route, response
            ):
                return False
            progress.serving_host = response.replica.host
            async for raw in self._events(response):
                if not progress.has_stream_started:
                    await self._start_stream(response)
                await self._writer.write_event(raw)
            if not progress.has_stream_started:
                await self._start_stream(response)
            self._attempts.record_response(response, is_failure=False)
        self._writer.end_with(LAST_CHUNK)
        return True

    async def _start_stream(self, response: ReplicaResponse) -> None:
        self._progress.has_stream_started = True
        self._progress.first_event_s = self._progress.elapsed_s
        await self._writer.write_stream_head(response.head)

    async def _events(self, response: ReplicaResponse) -> AsyncIterator[bytes]:
        """Yield complete events that the caller has not received yet."""
        splitter = EventSplitter()
        meter = EventIntervalMeter()
        async for chunk in response.chunks():
            for event in _complete_events(splitter, chunk):
                self._attempts.part_guard.record_event()
                interval_s = meter.record_event(response.body_wait_s)
                if interval_s is not None:
                    self._attempts.record_event_interval(response, interval_s)
                if self._is_new_event(event):
                    yield event.raw
        if splitter.has_partial_event:
            raise AttemptError(
                'stream cut', Verdict.MAY_HAVE_RUN, is_connection_lost=True
            )

    def _is_new_event(self, event: StreamEvent) -> bool:
        """Return whether an event is new.

        Raise AttemptError if the stream skips an event.
        """
        progress = self._progress
        if not event.number:
            return True
        if event.number <= progress.last_event_id:
            return False
        if event.number > progress.last_event_id + 1:
            raise AttemptError('stream with a gap', Verdict.MAY_HAVE_RUN)
        progress.last_event_id = event.number
        return True

    async def _forward_failure(
        self, route: Route, response: ReplicaResponse
    ) -> bool:
        """Deliver a replica's failure, unless it is to be retried."""
        self._attempts.record_response(response, is_failure=True)
        body = await response.body()
        may_retry = route.is_repeatable and not response.is_from_peer
        if may_retry and self._attempts.try_take_retry(route):
            return False
        if self._progress.has_stream_started:
            raise AttemptError('replica failed on resuming', Verdict.RAN)
        self._progress.serving_host = response.replica.host
        self._writer.end_with_response(response.head, body)
        return True

    def _escalate_model(self, route: Route, response: ReplicaResponse) -> bool:
        """Discard a low-confidence response if a larger model is to be used.

        Return whether the call is to be sent again with the larger model. The
        discarded response is a run, so only a repeatable call is sent again.
        """
        progress = self._progress
        if response.is_from_peer or not route.is_repeatable:
            return False
        usable = self._context.directory.usable(progress.service)
        escalation = EscalationContext(
            response.metadata.confidence,
            route.priority,
            route.objective_s - progress.elapsed_s,
            self._context.picker.mean_load(usable),
            route.max_attempts - progress.send_count,
            self._attempts.expected_first_event_s,
            self._context.picker.mean_delays(usable),
        )
        larger = choose_larger_model(route.models, progress.model, escalation)
        if not larger or not self._context.retry_budgets.try_take_optional(
            progress.service
        ):
            return False
        self._attempts.record_response(
            response, is_failure=False, is_complete=False
        )
        progress.note(
            MODEL_RAISED,
            confidence=response.metadata.confidence,
            left_s=round(escalation.remaining_s, 3),
            load=round(escalation.load, 3),
            delay_s=round(escalation.delays.present_s, 3),
            lasting_delay_s=round(escalation.delays.lasting_s, 3),
            expected_s=self._attempts.expected_first_event_s(larger),
            asked=progress.model,
            larger=larger,
        )
        self._context.metrics.models_raised.labels(progress.service).inc()
        progress.model = larger
        progress.tried_hosts.clear()
        progress.verdict = Verdict.RAN
        return True


def _complete_events(
    splitter: EventSplitter, chunk: bytes
) -> Iterator[StreamEvent]:
    """Yield events; raise AttemptError if one is too large."""
    try:
        yield from splitter.feed(chunk)
    except MalformedMessageError as error:
        raise AttemptError(str(error), Verdict.MAY_HAVE_RUN) from error
