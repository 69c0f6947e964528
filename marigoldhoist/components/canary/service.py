"""Follow roll-outs: choose versions and judge the new one."""

import asyncio
import random
from collections.abc import Callable, Iterator

from marigoldhoist.components.canary.comparison import AnswerSample
from marigoldhoist.components.canary.const import (
    STATUS_PAUSE_S,
    STATUS_WAIT_S,
)
from marigoldhoist.components.canary.events import (
    ROLL_OUT_MOVED,
    ROLL_OUT_ORDERED,
)
from marigoldhoist.components.canary.models import (
    RollOut,
    RollOutOrder,
    RollOutState,
    RollOutStatus,
    begun,
    is_told,
)
from marigoldhoist.components.canary.shares import (
    MovePlan,
    SessionMemory,
    position_of,
)
from marigoldhoist.components.canary.status_writer import (
    EncodeStatus,
    StatusWriter,
)
from marigoldhoist.components.canary.verdicts import Verdicts
from marigoldhoist.components.directory.const import COMPONENT as DIRECTORY
from marigoldhoist.components.directory.models import ReplicaEntry
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.feeds.const import COMPONENT as FEEDS
from marigoldhoist.components.feeds.feed import FeedPlan, FeedUpdate
from marigoldhoist.components.feeds.models import Topic
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.components.mirrors.const import COMPONENT as MIRRORS
from marigoldhoist.components.mirrors.service import MirrorService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel
from marigoldhoist.core.promises import PromiseSettings


class CanaryService(BaseService):
    """Roll-outs by service."""

    def __init__(self, kernel: Kernel) -> None:
        self._promises = kernel.settings.section(PromiseSettings)
        self._directory = kernel.find(DIRECTORY, DirectoryService)
        self._feeds = kernel.find(FEEDS, FeedService)
        self._verdicts = Verdicts(
            kernel.find(MIRRORS, MirrorService).findings, self._find_under_way
        )
        self._sessions = SessionMemory(self._promises.session_gap_ms / MS_PER_S)
        self._plan = MovePlan(self._promises.canary_share)
        self._tell_status: Callable[[FeedUpdate], None] | None = None
        self._writer: asyncio.Task[None] | None = None
        self.roll_out_by_service: dict[str, RollOut] = {}

    def attach(
        self, tell_status: Callable[[FeedUpdate], None], encode: EncodeStatus
    ) -> None:
        """Use that translation of stored states and begin to store them."""
        self._tell_status = tell_status
        writer = StatusWriter(
            self.roll_out_by_service,
            self._plan,
            self._directory,
            self._feeds,
            encode,
        )
        self._writer = asyncio.get_running_loop().create_task(writer.run())

    def stop(self) -> None:
        """Stop moving roll-outs on."""
        if self._writer is not None:
            self._writer.cancel()

    def handle_order(self, order: RollOutOrder, unseen_s: float | None) -> None:
        """Take the operator's newest order for a service.

        It may have been given at any time in the seconds `unseen_s` before
        now, none where nothing was known before.
        """
        known = self.roll_out_by_service.get(order.service)
        if known is not None and known.order == order:
            return
        now_s = SYSTEM_CLOCK.boottime_s()
        roll_out = begun(order, now_s, unseen_s)
        self.roll_out_by_service[order.service] = roll_out
        self._verdicts.begin(roll_out)
        emit(
            ROLL_OUT_ORDERED,
            service=order.service,
            target=order.target,
            allowed_s=order.allowed_s,
            unseen_s=unseen_s,
        )
        self._follow_status()

    def handle_status(self, status: RollOutStatus) -> None:
        """Take a stored state; a final one stays."""
        roll_out = self.roll_out_by_service.get(status.service)
        if roll_out is None or roll_out.order.target != status.target:
            return
        if roll_out.state.is_final or roll_out.state is status.state:
            return
        before = roll_out.state
        roll_out.state = status.state
        progress = roll_out.progress(SYSTEM_CLOCK.boottime_s())
        emit(
            ROLL_OUT_MOVED,
            service=status.service,
            target=status.target,
            state=status.state.value,
            before=before.value,
            progress=round(progress, 3),
        )

    def eligible_versions(self, service: str, session: str) -> tuple[str, ...]:
        """Return the versions that may serve, best first, empty for any."""
        roll_out = self.roll_out_by_service.get(service)
        if roll_out is None:
            return ()
        target = roll_out.order.target
        others = tuple(sorted(self._directory.versions(service) - {target}))
        if roll_out.state is RollOutState.COMPLETED:
            return (target,)
        if not roll_out.is_open:
            return others
        if self._gets_target(roll_out, session):
            return (target, *others)
        progress = roll_out.progress(SYSTEM_CLOCK.boottime_s())
        if others or progress < self._plan.all_moved_at:
            return others
        return (target,)

    def record_answer(
        self, entry: ReplicaEntry, session: str, answer: AnswerSample
    ) -> None:
        """Take in an answer of a version, for the judge and the session."""
        if session and not answer.is_failure:
            self.record_session(session, entry.version)
        self._verdicts.note(entry.service, entry.version, answer)

    def record_session(self, session: str, version: str) -> None:
        """Note that a session still uses a version."""
        if session:
            self._sessions.note(session, version, SYSTEM_CLOCK.boottime_s())

    @property
    def _is_status_known(self) -> bool:
        feed = self._feeds.feed_by_topic.get(Topic.STATUS)
        return feed is not None and feed.end is not None

    def _gets_target(self, roll_out: RollOut, session: str) -> bool:
        if not self._is_status_known:
            return False
        now_s = SYSTEM_CLOCK.boottime_s()
        known = self._sessions.version_of(session, now_s) if session else ''
        if known == roll_out.order.target:
            return True
        if session and not is_told(roll_out, now_s):
            return False
        position = position_of(session) if session else random.random()
        service = roll_out.order.service
        return self._plan.is_moved(
            position,
            roll_out.progress(now_s),
            is_under_way=bool(known)
            or self._verdicts.is_under_way(service, position),
        )

    def _find_under_way(self, target: str) -> Iterator[float]:
        """Yield sessions under way that would try the target otherwise."""
        return self._sessions.under_way(
            self._plan.tried_share, target, SYSTEM_CLOCK.boottime_s()
        )

    def _follow_status(self) -> None:
        if (
            self._tell_status is None
            or Topic.STATUS in self._feeds.feed_by_topic
        ):
            return
        plan = FeedPlan(Topic.STATUS, STATUS_WAIT_S, STATUS_PAUSE_S)
        self._feeds.follow(plan, self._tell_status)
