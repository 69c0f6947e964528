"""Answer a request by a cascade: held answers, escalated while time allows.

Only the delivered answer is billed and settled. It comes from one version
as a whole; what another version had written is dropped.
"""

import dataclasses
import time
from functools import partial

from result import Err, Ok, Result

from marigoldhoist.components.dispatch.attempts import Attempts
from marigoldhoist.components.dispatch.calls import serving_name
from marigoldhoist.components.dispatch.held import HeldAnswer
from marigoldhoist.components.dispatch.stages import Attempt, Passage
from marigoldhoist.components.quality.cells import CellKey, doubt_bin
from marigoldhoist.components.quality.const import COMPONENT as QUALITY
from marigoldhoist.components.quality.service import QualityService
from marigoldhoist.components.ratings.const import COMPONENT as RATINGS
from marigoldhoist.components.ratings.service import RatingService
from marigoldhoist.components.routing.cascades import CascadeRequest, Choice
from marigoldhoist.components.routing.const import COMPONENT as ROUTING
from marigoldhoist.components.routing.model_cascades import (
    ModelCascade,
    cascade_request,
)
from marigoldhoist.components.routing.plans import History
from marigoldhoist.components.routing.service import RoutingService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.kernel import Kernel
from marigoldhoist.core.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The version whose answer goes to the caller, and the answer."""

    version: str
    answer: HeldAnswer


Cascaded = Result[Delivered, RequestFailure]


@dataclasses.dataclass(slots=True)
class Course:
    """One request's way through its cascade."""

    passage: Passage
    cascade: ModelCascade
    ask: CascadeRequest
    started_s: float
    history: History = ()
    spare: Delivered | None = None
    is_committed: bool = False

    @property
    def elapsed_s(self) -> float:
        """Return the seconds since the request began."""
        return time.monotonic() - self.started_s


class Cascade:
    """Runs the stages of a cascade for one request after another."""

    def __init__(self, kernel: Kernel, attempts: Attempts) -> None:
        self._table = kernel.find(TABLE, TableService)
        self._routing = kernel.find(ROUTING, RoutingService)
        self._quality = kernel.find(QUALITY, QualityService)
        self._ratings = kernel.find(RATINGS, RatingService)
        self._attempts = attempts

    def applies(self, request: CallerRequest) -> bool:
        """Tell whether the table wants a cascade for the request."""
        return (
            self._ask(request) is not None
            and self._routing.cascade(request) is not None
        )

    def run(self, passage: Passage) -> Cascaded:
        """Return the answer to deliver."""
        request = passage.request
        ask = self._ask(request)
        cascade = self._routing.cascade(request)
        if ask is None or cascade is None:
            return Err(_refusal())
        choice = cascade.choose(ask, self._waits(request))
        if choice is None:
            return Err(_refusal())
        course = Course(passage, cascade, ask, time.monotonic())
        return self._follow(course, choice)

    def _follow(self, course: Course, first: Choice) -> Cascaded:
        choice: Choice | None = first
        outcome: Cascaded = Err(_refusal())
        while choice is not None:
            outcome = self._stage(course, choice)
            if isinstance(outcome, Err):
                return self._fall_back(course, outcome)
            choice = self._next(course, choice, outcome.ok_value)
        return outcome

    def _stage(self, course: Course, choice: Choice) -> Cascaded:
        tried = self._attempts.run(course.passage, choice.version)
        if isinstance(tried, Err):
            return tried
        held = HeldAnswer(
            tried.ok_value, partial(self._learn, course, choice.version)
        )
        if not choice.is_streamed:
            held.read_until(course.started_s + choice.hold_s)
        return Ok(Delivered(choice.version, held))

    def _next(
        self, course: Course, choice: Choice, delivered: Delivered
    ) -> Choice | None:
        """Choose what follows a stage, and drop its answer if it is not it."""
        held = delivered.answer
        if choice.is_streamed or held.is_cut:
            following = None
        elif held.is_read:
            following = self._after_doubt(course, choice, held)
        else:
            following = self._too_late(course, choice)
        if following is not None:
            self._drop(course, delivered)
            return following
        course.is_committed = True
        if held.doubt is not None:
            course.cascade.record_delivery(course.ask, course.history)
        return None

    def _after_doubt(
        self, course: Course, choice: Choice, held: HeldAnswer
    ) -> Choice | None:
        if held.doubt is None:
            return None
        return course.cascade.escalate(
            course.ask,
            choice.price,
            course.history,
            course.elapsed_s,
            self._waits(course.passage.request),
        )

    def _too_late(self, course: Course, choice: Choice) -> Choice | None:
        if course.history:
            return None
        waits = self._waits(course.passage.request)
        return course.cascade.escalate_late(
            course.ask, choice, course.elapsed_s, waits
        )

    def _learn(self, course: Course, version: str, held: HeldAnswer) -> None:
        """Count a whole answer; it may end long after it was committed."""
        course.cascade.observe_times(version, held.first_s, held.whole_s)
        if held.doubt is None:
            return
        key = self._key(course, version, held.replica.failure_domain)
        doubt = doubt_bin(held.doubt)
        self._quality.note(key, doubt)
        request = course.passage.request
        self._ratings.track_answer(
            (request.workspace, request.request_id), key, held.doubt
        )
        course.history = (*course.history, (version, doubt))
        if course.is_committed:
            course.cascade.record_delivery(course.ask, course.history)

    def _drop(self, course: Course, delivered: Delivered) -> None:
        """Keep a whole answer in case the next stage fails."""
        held = delivered.answer
        held.close()
        if held.is_read:
            course.spare = delivered
        course.passage.report(
            Attempt(
                serving=serving_name(course.passage.request, delivered.version),
                replica=held.replica.host,
                verdict=Verdict.RAN,
                status=held.status,
                tokens=held.chunk_count,
                is_whole=held.is_read,
                is_abandoned=not held.is_read,
                first_token_s=held.first_s,
                duration_s=time.monotonic() - held.started_s,
            )
        )

    def _fall_back(
        self, course: Course, failed: Err[RequestFailure]
    ) -> Cascaded:
        """Deliver the doubtful answer where the next stage gave none."""
        spare = course.spare
        if spare is None:
            return failed
        if not self._table.state.takes_work(
            course.passage.request.target, spare.version
        ):
            return failed
        return Ok(spare)

    def _key(self, course: Course, version: str, domain: str) -> CellKey:
        return CellKey(
            course.passage.request.target,
            course.ask.task,
            version,
            course.history[-1][0] if course.history else '',
            domain,
        )

    def _ask(self, request: CallerRequest) -> CascadeRequest | None:
        task = self._quality.known_task(request.task or request.workspace)
        return cascade_request(request, self._table.state, task)

    def _waits(self, request: CallerRequest) -> 'Waits':
        return Waits(self._routing, request)


@dataclasses.dataclass(frozen=True, slots=True)
class Waits:
    """Expected seconds to the first token of each version."""

    routing: RoutingService
    request: CallerRequest

    def __call__(self, version: str) -> float | None:
        """Return the wait, none where the version may not be used."""
        return self.routing.wait_s(self.request, version)


def _refusal() -> RequestFailure:
    return RequestFailure(
        ErrorCode.OVERLOADED,
        'no version can answer before the deadline',
        retry_after_s=1,
    )
