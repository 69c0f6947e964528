"""Deliver streams event by event, resumed where a replica breaks off."""

from collections.abc import AsyncIterator

from marigoldhoist.components.configuration.models import RequestKind, Route
from marigoldhoist.components.gateway.attempts import Attempts
from marigoldhoist.components.gateway.context import GatewayContext
from marigoldhoist.components.gateway.deliveries import Caller, delivers
from marigoldhoist.components.gateway.errors import AttemptError
from marigoldhoist.components.gateway.events import MODEL_RAISED
from marigoldhoist.components.gateway.messages import LAST_CHUNK
from marigoldhoist.components.gateway.pace import PaceMeter
from marigoldhoist.components.gateway.progress import CallProgress
from marigoldhoist.components.gateway.sending import RunningAnswer
from marigoldhoist.components.gateway.splitter import (
    EventSplitter,
    StreamEvent,
)
from marigoldhoist.components.placement.model_escalation import (
    EscalationContext,
    choose_larger_model,
)
from marigoldhoist.core.verdict import Verdict


@delivers(RequestKind.STREAM)
class StreamDelivery:
    """Relays whole events, so that a run can be followed by another."""

    def __init__(
        self,
        progress: CallProgress,
        attempts: Attempts,
        caller: Caller,
        context: GatewayContext,
    ) -> None:
        self._progress = progress
        self._attempts = attempts
        self._caller = caller
        self._context = context

    async def attempt(self, route: Route) -> bool:
        """Relay one run; False where another run is to follow."""
        progress = self._progress
        async with self._attempts.sent() as answer:
            if not answer.is_success:
                return await self._pass_failure(route, answer)
            if not progress.has_begun and self._raise_model(route, answer):
                return False
            progress.served_by = answer.replica.host
            async for raw in self._events(answer):
                if not progress.has_begun:
                    await self._begin(answer)
                await self._caller.send_event(raw)
            if not progress.has_begun:
                await self._begin(answer)
            self._attempts.note_answer(answer, is_failure=False)
        await self._caller.send(LAST_CHUNK)
        return True

    async def _begin(self, answer: RunningAnswer) -> None:
        self._progress.has_begun = True
        self._progress.first_s = self._progress.elapsed_s
        await self._caller.begin_stream(answer.head)

    async def _events(self, answer: RunningAnswer) -> AsyncIterator[bytes]:
        """Yield the whole events that the caller does not have yet."""
        splitter = EventSplitter()
        meter = PaceMeter()
        async for chunk in answer.chunks():
            for event in splitter.feed(chunk):
                pace_s = meter.note_event(answer.waited_s)
                if pace_s is not None:
                    self._attempts.note_pace(answer, pace_s)
                if self._is_next(event):
                    yield event.raw
        if splitter.has_partial_event:
            raise AttemptError('stream cut', Verdict.MAY_HAVE_RUN)

    def _is_next(self, event: StreamEvent) -> bool:
        """Tell whether an event is new; AttemptError where one is missing."""
        progress = self._progress
        if not event.number:
            return True
        if event.number <= progress.last_event:
            return False
        if event.number > progress.last_event + 1:
            raise AttemptError('stream with a gap', Verdict.MAY_HAVE_RUN)
        progress.last_event = event.number
        return True

    async def _pass_failure(self, route: Route, answer: RunningAnswer) -> bool:
        """Deliver a replica's failure, unless another replica may do better."""
        self._attempts.note_answer(answer, is_failure=True)
        body = await answer.body()
        if route.is_repeatable and self._attempts.may_send_again(route):
            return False
        if self._progress.has_begun:
            raise AttemptError('replica failed on resuming', Verdict.RAN)
        self._progress.served_by = answer.replica.host
        await self._caller.answer(answer.head, body)
        return True

    def _raise_model(self, route: Route, answer: RunningAnswer) -> bool:
        """Tell whether a larger model is asked instead of this answer."""
        progress = self._progress
        escalation = EscalationContext(
            answer.metadata.confidence,
            route.priority,
            route.objective_s - progress.elapsed_s,
            self._context.picker.load(
                self._context.directory.usable(progress.service)
            ),
            route.max_attempts - progress.sends,
            self._attempts.expected_s,
        )
        larger = choose_larger_model(route.models, progress.model, escalation)
        if not larger or not self._context.repeats.try_take_spare(
            progress.service
        ):
            return False
        self._attempts.note_answer(answer, is_failure=False)
        progress.note(
            MODEL_RAISED,
            confidence=answer.metadata.confidence,
            left_s=round(escalation.remaining_s, 3),
            load=round(escalation.load, 3),
            expected_s=self._attempts.expected_s(larger),
            asked=progress.model,
            larger=larger,
        )
        self._context.metrics.models_raised.labels(progress.service).inc()
        progress.model = larger
        progress.tried.clear()
        progress.verdict = Verdict.RAN
        return True
