"""The canary service: split traffic between versions in roll-outs."""

import asyncio
from collections.abc import Callable, Iterator

from marigoldhoist.components.canary.analysis import CanaryAnalysis
from marigoldhoist.components.canary.codec import StatusCodec
from marigoldhoist.components.canary.comparison import AnswerSample
from marigoldhoist.components.canary.const import (
    STATUS_PAUSE_S,
    STATUS_POLL_WAIT_S,
)
from marigoldhoist.components.canary.context import StorageContext
from marigoldhoist.components.canary.events import (
    ROLL_OUT_MOVED,
    ROLL_OUT_ORDERED,
    STATUS_CONFLICT,
)
from marigoldhoist.components.canary.held_orders import HeldOrders
from marigoldhoist.components.canary.models import (
    RollOut,
    RollOutOrder,
    RollOutState,
    RollOutStatus,
    is_session_exchange_over,
    new_roll_out,
)
from marigoldhoist.components.canary.rejections import (
    RejectedVersions,
    Rejection,
    Standing,
)
from marigoldhoist.components.canary.storage import start_writers
from marigoldhoist.components.canary.traffic_split import (
    RampSchedule,
    RecentSessions,
    position_of,
)
from marigoldhoist.components.directory.models import ReplicaEntry
from marigoldhoist.components.directory.service import find_directory
from marigoldhoist.components.feeds.const import COMPONENT as FEEDS
from marigoldhoist.components.feeds.feed import FeedPlan, FeedUpdate
from marigoldhoist.components.feeds.models import Topic
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.components.mirrors.service import find_mirrors
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel
from marigoldhoist.core.objectives import ObjectiveSettings


class CanaryService(BaseService):
    """Tracks the roll-outs of services and selects versions by session."""

    def __init__(self, kernel: Kernel) -> None:
        self._objectives = kernel.settings.section(ObjectiveSettings)
        self._directory = find_directory(kernel)
        self._feeds = kernel.find(FEEDS, FeedService)
        self._mirrors = find_mirrors(kernel)
        self.analysis = CanaryAnalysis(
            self._mirrors.findings,
            self._find_active_positions,
        )
        self._sessions = RecentSessions(self._objectives.session_gap_s)
        self._schedule = RampSchedule(self._objectives.canary_share)
        self._held_orders = HeldOrders(SYSTEM_CLOCK.boottime_s)
        self._status_handler: Callable[[FeedUpdate], None] | None = None
        self._writers: tuple[asyncio.Task[None], ...] = ()
        self._rejections = RejectedVersions()
        self.roll_out_by_service: dict[str, RollOut] = {}

    def attach(
        self, status_handler: Callable[[FeedUpdate], None], codec: StatusCodec
    ) -> None:
        """Set the handler and the codec of stored states; start writing.

        `status_handler` gets the updates of the status topic and passes their
        states to `handle_status`, their rejections to `handle_rejection`.
        """
        self._status_handler = status_handler
        context = StorageContext(
            self.roll_out_by_service,
            self._rejections,
            self._schedule,
            self.analysis,
            self._directory,
            self._feeds,
            self._mirrors,
            codec,
        )
        self._writers = start_writers(context)

    def stop(self) -> None:
        """Stop storing states and rejections."""
        for writer in self._writers:
            writer.cancel()

    def handle_order(
        self,
        order: RollOutOrder,
        unseen_s: float | None,
        *,
        is_restored: bool = False,
    ) -> None:
        """Start the roll-out of the operator's newest order for a service.

        The order was stored at some time in the last `unseen_s` seconds, or at
        an unknown time if that is None because nothing was read before. One
        that `is_restored` may be older than the order in force and is held.
        """
        now_s = SYSTEM_CLOCK.boottime_s()
        known = self.roll_out_by_service.get(order.service)
        self._held_orders.drop(order.service)
        if known is not None:
            if known.order == order or known.renew(order, now_s):
                return
            if is_restored:
                self._held_orders.hold(order, known.order)
                return
        if known is not None:
            self._rejections.note_replaced(known.order)
            if not known.is_target_allowed:
                self._rejections.reject(known.order)
        self._rejections.lift(order, Standing.ORDERED_AGAIN)
        roll_out = new_roll_out(order, now_s, unseen_s)
        if self._rejections.covers(order):
            roll_out.adopt_rejection()
        self.roll_out_by_service[order.service] = roll_out
        self.analysis.begin(roll_out)
        emit(
            ROLL_OUT_ORDERED,
            service=order.service,
            target=order.target,
            allowed_s=order.allowed_s,
            unseen_s=unseen_s,
            rejected=sorted(self._rejections.of_service(order.service)),
        )
        self._follow_status()

    def handle_new_era(self) -> None:
        """Read back which states the store still has, once it lost records."""
        if self.roll_out_by_service:
            self._follow_status()

    def release_held_orders(self) -> None:
        """Start the roll-outs of held orders that were not written again."""
        for order in self._held_orders.pop_due():
            self.handle_order(order, None)

    def handle_status(
        self, status: RollOutStatus, era: int | None = None
    ) -> None:
        """Apply a state stored in an era; a final state does not change."""
        roll_out = self.roll_out_by_service.get(status.service)
        if roll_out is None:
            return
        if roll_out.order.target != status.target:
            self._rejections.read_earlier(status)
            return
        if roll_out.state.is_final or roll_out.state is status.state:
            _confirm_stored(roll_out, status, era)
            return
        before = roll_out.state
        roll_out.state = status.state
        roll_out.stored_era = era
        if roll_out.state is RollOutState.COMPLETED:
            self._rejections.lift(roll_out.order, Standing.COMPLETED)
        progress = roll_out.progress(SYSTEM_CLOCK.boottime_s())
        emit(
            ROLL_OUT_MOVED,
            service=status.service,
            target=status.target,
            state=status.state.value,
            before=before.value,
            progress=round(progress, 3),
        )

    def handle_rejection(
        self, rejection: Rejection, era: int | None = None
    ) -> None:
        """Apply a rejection stored in an era, also to the present order."""
        self._rejections.read(rejection, era)
        roll_out = self.roll_out_by_service.get(rejection.service)
        if roll_out is None or not self._rejections.covers(roll_out.order):
            return
        if roll_out.state is RollOutState.COMPLETED:
            self._rejections.lift(roll_out.order, Standing.COMPLETED)
        else:
            roll_out.adopt_rejection()

    def eligible_versions(
        self, service: str, session: str
    ) -> tuple[str, ...] | None:
        """Return the versions that may serve, best first; None for any.

        A rejected version serves no calls, also if no other one can.
        """
        rejected = self._rejections.of_service(service)
        allowed = self._directory.versions(service) - rejected
        roll_out = self.roll_out_by_service.get(service)
        if roll_out is None:
            return tuple(sorted(allowed)) if rejected else None
        target = roll_out.order.target
        others = tuple(sorted(allowed - {target}))
        if roll_out.state is RollOutState.COMPLETED:
            return (target,)
        if not roll_out.is_target_allowed:
            return others
        if self._gets_target(roll_out, session):
            return (target, *others)
        # A version that is not known to be bad serves if no other can.
        return others or (target,)

    def record_answer(
        self, entry: ReplicaEntry, session: str, answer: AnswerSample
    ) -> None:
        """Record an answer for the canary analysis and for its session."""
        if session and not answer.is_failure:
            self.record_session(session, entry.version)
        self.analysis.record(entry.service, entry.version, answer)

    def record_session(self, session: str, version: str) -> None:
        """Record that a session still uses a version."""
        if session:
            self._sessions.record(session, version, SYSTEM_CLOCK.boottime_s())

    @property
    def _is_status_known(self) -> bool:
        feed = self._feeds.feed_by_topic.get(Topic.STATUS)
        return feed is not None and feed.position is not None

    def _gets_target(self, roll_out: RollOut, session: str) -> bool:
        if not self._is_status_known:
            return False
        now_s = SYSTEM_CLOCK.boottime_s()
        version = self._sessions.version_of(session, now_s) if session else ''
        if version == roll_out.order.target:
            return True
        if session and not is_session_exchange_over(roll_out, now_s):
            return False
        position = position_of(session)
        service = roll_out.order.service
        return self._schedule.is_on_target(
            position,
            self._traffic_progress(roll_out),
            is_active=bool(version)
            or self.analysis.is_session_active(service, position),
            is_confirmed=roll_out.confirmed_s <= now_s,
        )

    def _traffic_progress(self, roll_out: RollOut) -> float:
        return roll_out.traffic_progress(
            SYSTEM_CLOCK.boottime_s(), self._schedule.ramp_starts_at
        )

    def _find_active_positions(self, target: str) -> Iterator[float]:
        """Yield positions of canary sessions active on another version."""
        return self._sessions.active_positions(
            self._schedule.canary_session_share,
            target,
            SYSTEM_CLOCK.boottime_s(),
        )

    def _follow_status(self) -> None:
        if (
            self._status_handler is None
            or Topic.STATUS in self._feeds.feed_by_topic
        ):
            return
        plan = FeedPlan(Topic.STATUS, STATUS_POLL_WAIT_S, STATUS_PAUSE_S)
        self._feeds.follow(plan, self._status_handler)


def _confirm_stored(
    roll_out: RollOut, status: RollOutStatus, era: int | None
) -> None:
    """Record that the store has the state, so that it is not stored again.

    Another final state is left as well: daemons that know different ones would
    otherwise replace each other's forever.
    """
    is_same = roll_out.state is status.state
    if not is_same and not status.state.is_final:
        return
    if not is_same and roll_out.stored_era != era:
        emit(
            STATUS_CONFLICT,
            service=status.service,
            target=status.target,
            state=roll_out.state.value,
            stored=status.state.value,
            era=era,
        )
    roll_out.stored_era = era
