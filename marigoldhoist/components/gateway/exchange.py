"""One caller's request, from its head to its final answer."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable
from typing import Final

from marigoldhoist.components.canary.judge import SeenAnswer
from marigoldhoist.components.canary.service import CanaryService
from marigoldhoist.components.configuration.models import Route
from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.gateway.admission import Admission, Admitted
from marigoldhoist.components.gateway.choosing import ReplicaPicker, Wanted
from marigoldhoist.components.gateway.connection import HttpConnection
from marigoldhoist.components.gateway.const import MIN_SEND_S
from marigoldhoist.components.gateway.errors import AttemptError
from marigoldhoist.components.gateway.events import (
    ATTEMPT_FAILED,
    CALLER_LEFT,
    MODEL_RAISED,
    REQUEST_BROKEN_OFF,
    REQUEST_ENDED,
    REQUEST_FAILED,
    STREAM_RESUMED,
)
from marigoldhoist.components.gateway.messages import (
    LAST_CHUNK,
    answer_bytes,
    chunk_bytes,
    chunked_head_bytes,
)
from marigoldhoist.components.gateway.models import Call, Dialect, Order
from marigoldhoist.components.gateway.repeats import RepeatBudgets
from marigoldhoist.components.gateway.sending import RunningAnswer, Sender
from marigoldhoist.components.gateway.splitter import EventSplitter
from marigoldhoist.components.gateway.stopping import StopClock
from marigoldhoist.components.placement.model_sizes import (
    Doubt,
    first_model,
    larger_model,
)
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.events import emit
from marigoldhoist.core.verdict import Verdict

SERVER_FAILURES: Final = range(500, 600)
# Prompts of this size take about twice as long to the head as short ones.
TOKENS_PER_USUAL_S: Final = 4000


@dataclasses.dataclass(frozen=True, slots=True)
class Desk:
    """What every exchange of a daemon uses."""

    admission: Admission
    directory: DirectoryService
    picker: ReplicaPicker
    sender: Sender
    canary: CanaryService
    repeats: RepeatBudgets
    dialect: Dialect
    stop_clock: Callable[[], StopClock | None]


class RefusedError(Exception):
    """The exchange ends with a refusal or failure of the daemon's own."""

    def __init__(self, failure: RequestFailure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class Exchange:
    """Serves one call on a caller's connection."""

    def __init__(
        self, call: Call, caller: HttpConnection, desk: Desk, *, closes: bool
    ) -> None:
        self._call = call
        self._caller = caller
        self._desk = desk
        self._closes = closes
        self._tried: set[str] = set()
        self._sends = 0
        self._verdict = Verdict.NOT_RUN
        self._has_begun = False
        self._last_event = call.resume_after
        self._first_s: float | None = None
        self._last_reason = ''
        self._served_by = ''
        self._model = ''
        self._route_name = ''

    async def run(self) -> bool:
        """Serve the call; return whether its connection may be used again."""
        try:
            admitted = self._admitted()
            self._require_time_to_finish(admitted.route)
            self._model = self._first_model(admitted.route)
            self._route_name = admitted.route.name
            self._desk.repeats.note_request(_service_of(admitted.route))
            async with asyncio.timeout(self._left_s(admitted.route)):
                await self._serve(admitted.route)
        except RefusedError as refused:
            return await self._fail(refused.failure)
        except TimeoutError:
            return await self._fail(self._time_is_up())
        except asyncio.CancelledError:
            emit(CALLER_LEFT, **self._fields())
            raise
        self._note_end()
        return not self._closes

    async def _serve(self, route: Route) -> None:
        if route.is_stream:
            await self._serve_stream(route)
        else:
            await self._serve_plain(route)

    async def _serve_plain(self, route: Route) -> None:
        """Deliver one whole answer, asking again where that is allowed."""
        while True:
            try:
                if await self._plain_attempt(route):
                    return
            except AttemptError as error:
                self._note_failed(error)
                self._require_another(route, error)

    async def _plain_attempt(self, route: Route) -> bool:
        """Try one replica; False where its failure is worth another try."""
        async with self._sent(route) as answer:
            body = await answer.body()
            status = answer.head.status
            if status in SERVER_FAILURES:
                self._note_answer(answer, is_failure=True)
                answer.replica.note_failure(SYSTEM_CLOCK.boottime_s())
                if route.is_repeatable and self._may_send_again(route):
                    return False
            else:
                self._note_answer(answer, is_failure=False)
            headers = self._desk.dialect.answer_headers(answer.head)
            self._served_by = answer.replica.host
            await self._caller.write(
                answer_bytes(status, self._with_close(headers), body)
            )
        return True

    async def _serve_stream(self, route: Route) -> None:
        """Deliver a stream whole, resuming it where that is allowed."""
        while True:
            try:
                if await self._stream_attempt(route):
                    return
            except AttemptError as error:
                self._note_failed(error)
                self._require_another(route, error)

    async def _stream_attempt(self, route: Route) -> bool:
        """Relay one run; False where another run is to follow."""
        async with self._sent(route) as answer:
            if not answer.is_success:
                return await self._pass_stream_failure(route, answer)
            if not self._has_begun and self._raise_model(route, answer):
                return False
            self._served_by = answer.replica.host
            async for raw in self._events(answer):
                await self._deliver(answer, raw)
            if not self._has_begun:
                await self._begin(answer)
            await self._caller.write(LAST_CHUNK)
            self._note_answer(answer, is_failure=False)
        return True

    async def _pass_stream_failure(
        self, route: Route, answer: RunningAnswer
    ) -> bool:
        self._note_answer(answer, is_failure=True)
        answer.replica.note_failure(SYSTEM_CLOCK.boottime_s())
        body = await answer.body()
        self._verdict = Verdict.RAN
        if route.is_repeatable and self._may_send_again(route):
            return False
        if self._has_begun:
            raise AttemptError('replica failed on resuming', Verdict.RAN)
        headers = self._desk.dialect.answer_headers(answer.head)
        self._served_by = answer.replica.host
        await self._caller.write(
            answer_bytes(answer.head.status, self._with_close(headers), body)
        )
        return True

    async def _events(self, answer: RunningAnswer) -> AsyncIterator[bytes]:
        """Yield the whole events that the caller does not have yet."""
        splitter = EventSplitter()
        async for chunk in answer.chunks():
            for event in splitter.feed(chunk):
                if event.number and event.number <= self._last_event:
                    continue
                if event.number > self._last_event + 1:
                    raise AttemptError(
                        'stream with a gap', Verdict.MAY_HAVE_RUN
                    )
                self._last_event = event.number or self._last_event
                yield event.raw
        if splitter.has_partial_event:
            raise AttemptError('stream cut', Verdict.MAY_HAVE_RUN)

    async def _deliver(self, answer: RunningAnswer, raw: bytes) -> None:
        if not self._has_begun:
            await self._begin(answer)
        await self._caller.write(chunk_bytes(raw))

    async def _begin(self, answer: RunningAnswer) -> None:
        self._has_begun = True
        self._first_s = SYSTEM_CLOCK.boottime_s() - self._call.arrived_s
        headers = self._desk.dialect.answer_headers(answer.head)
        await self._caller.write(
            chunked_head_bytes(answer.head.status, self._with_close(headers))
        )

    def _sent(
        self, route: Route
    ) -> contextlib.AbstractAsyncContextManager[RunningAnswer]:
        """Choose a replica and send the call to it."""
        admitted = self._admitted()
        replica = self._choose(route)
        workspace = admitted.workspace
        left_s = self._left_s(route)
        if left_s < MIN_SEND_S:
            raise RefusedError(self._time_is_up())
        order = Order(
            replica.host,
            left_s,
            workspace.name if workspace else '',
            self._model,
            self._last_event,
        )
        if self._has_begun:
            emit(
                STREAM_RESUMED,
                replica=replica.host,
                after_event=self._last_event,
                **self._fields(),
            )
        self._sends += 1
        self._tried.add(replica.host)
        self._desk.canary.keep_session(
            self._call.session, replica.entry.version
        )
        return self._desk.sender.sent(
            self._call, order, replica, is_repeatable=route.is_repeatable
        )

    def _choose(self, route: Route) -> Replica:
        service = _service_of(route)
        usable = self._desk.directory.usable(service)
        versions = self._desk.canary.versions(service, self._call.session)
        for version in versions or ('',):
            replicas = [
                one
                for one in usable
                if not version or one.entry.version == version
            ]
            picked = self._desk.picker.pick(
                Wanted(replicas, self._tried, self._model, self._call.prompt)
            )
            if picked is not None:
                return picked
        raise RefusedError(self._no_replica(len(usable)))

    def _no_replica(self, usable: int) -> RequestFailure:
        if self._verdict is not Verdict.NOT_RUN:
            return self._upstream_failed()
        return self._desk.admission.refusal(
            ErrorCode.NO_REPLICA,
            f'none of {usable} replicas can take the request',
            self._left_s(None),
        )

    def _admitted(self) -> Admitted:
        admitted = self._desk.admission.admit(self._call)
        if isinstance(admitted, Admitted):
            return admitted
        if self._verdict is not Verdict.NOT_RUN:
            raise RefusedError(self._upstream_failed())
        raise RefusedError(admitted)

    def _require_time_to_finish(self, route: Route) -> None:
        """Raise RefusedError where a stop would cut the answer."""
        clock = self._desk.stop_clock()
        if clock is None or clock.takes(is_stream=route.is_stream):
            return
        raise RefusedError(
            self._desk.admission.refusal(
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

    def _raise_model(self, route: Route, answer: RunningAnswer) -> bool:
        """Tell whether a larger model is asked instead of this answer."""
        arrived_s = self._call.arrived_s
        elapsed_s = SYSTEM_CLOCK.boottime_s() - arrived_s
        doubt = Doubt(
            answer.signs.confidence,
            route.priority,
            1 - elapsed_s / route.objective_s,
            self._desk.picker.load(
                self._desk.directory.usable(_service_of(route))
            ),
            route.max_attempts - self._sends,
        )
        larger = larger_model(route.models, self._model, doubt)
        if not larger or not self._desk.repeats.try_take(_service_of(route)):
            return False
        self._note_answer(answer, is_failure=False)
        emit(
            MODEL_RAISED,
            confidence=answer.signs.confidence,
            load=round(doubt.load, 3),
            asked=self._model,
            larger=larger,
            **self._fields(),
        )
        self._model = larger
        self._tried.clear()
        self._verdict = Verdict.RAN
        return True

    def _note_answer(self, answer: RunningAnswer, *, is_failure: bool) -> None:
        entry = answer.replica.entry
        if not is_failure:
            answer.replica.note_success(SYSTEM_CLOCK.boottime_s())
        if self._call.prompt is not None and not is_failure:
            self._desk.picker.note_read(
                answer.replica, self._model, self._call.prompt
            )
        self._desk.canary.note_answer(
            entry,
            self._call.session,
            SeenAnswer(
                is_failure,
                answer.head_s / self._usual_s,
                f'{self._route_name}/{self._model}',
            ),
        )

    @property
    def _usual_s(self) -> float:
        """Return the seconds to the head that the prompt's size explains."""
        tokens = self._call.prompt.tokens_in if self._call.prompt else 0
        return 1 + tokens / TOKENS_PER_USUAL_S

    def _note_failed(self, error: AttemptError) -> None:
        self._last_reason = error.reason
        if error.verdict is not Verdict.NOT_RUN:
            self._verdict = error.verdict
        emit(
            ATTEMPT_FAILED,
            reason=error.reason,
            verdict=error.verdict.value,
            sends=self._sends,
            **self._fields(),
        )

    def _require_another(self, route: Route, error: AttemptError) -> None:
        """Raise RefusedError unless another replica may be tried."""
        is_allowed = (
            error.verdict is Verdict.NOT_RUN
            and self._verdict is Verdict.NOT_RUN
        ) or route.is_repeatable
        if is_allowed and self._may_send_again(route):
            return
        if self._verdict is Verdict.NOT_RUN:
            raise RefusedError(
                self._desk.admission.refusal(
                    ErrorCode.OVERLOADED, error.reason, self._left_s(route)
                )
            )
        raise RefusedError(self._upstream_failed())

    def _may_send_again(self, route: Route) -> bool:
        return (
            self._sends < route.max_attempts
            and self._left_s(route) > MIN_SEND_S
            and self._desk.repeats.try_take(_service_of(route))
        )

    def _upstream_failed(self) -> RequestFailure:
        return RequestFailure(
            ErrorCode.UPSTREAM_FAILED, self._last_reason, self._verdict
        )

    def _time_is_up(self) -> RequestFailure:
        if self._sends:
            return RequestFailure(
                ErrorCode.DEADLINE_EXCEEDED,
                'no answer in the time allowed',
                Verdict.MAY_HAVE_RUN,
            )
        return self._desk.admission.refusal(
            ErrorCode.OVERLOADED, 'no time is left', 0
        )

    def _left_s(self, route: Route | None) -> float:
        """Return the seconds left of the caller's and the route's time."""
        elapsed_s = SYSTEM_CLOCK.boottime_s() - self._call.arrived_s
        times = [
            allowed
            for allowed in (
                self._call.time_allowed_s,
                route.timeout_s if route else None,
            )
            if allowed is not None
        ]
        return min(times, default=1) - elapsed_s

    async def _fail(self, failure: RequestFailure) -> bool:
        """End with the daemon's own answer, or cut what has begun."""
        event = REQUEST_BROKEN_OFF if self._has_begun else REQUEST_FAILED
        emit(
            event,
            code=failure.code.value,
            reason=failure.message,
            verdict=failure.verdict.value,
            sends=self._sends,
            status=failure.http_status,
            **self._fields(),
        )
        if self._has_begun:
            self._caller.abort()
            return False
        rendered = self._desk.dialect.failure_bytes(
            self._call.request_id, failure
        )
        await self._caller.write(rendered)
        return not self._closes

    def _with_close(
        self, headers: list[tuple[bytes, bytes]]
    ) -> list[tuple[bytes, bytes]]:
        if self._closes:
            return [*headers, (b'Connection', b'close')]
        return headers

    def _note_end(self) -> None:
        emit(
            REQUEST_ENDED,
            replica=self._served_by,
            model=self._model,
            sends=self._sends,
            events=self._last_event,
            first_s=None if self._first_s is None else round(self._first_s, 4),
            **self._fields(),
        )

    def _fields(self) -> dict[str, object]:
        elapsed_s = SYSTEM_CLOCK.boottime_s() - self._call.arrived_s
        return {
            'request_id': self._call.request_id,
            'path': self._call.path,
            'elapsed_s': round(elapsed_s, 4),
        }


def _service_of(route: Route) -> str:
    """Return the service of a route; a split is decided by weight."""
    return max(route.weight_by_service, key=route.weight_by_service.__getitem__)
