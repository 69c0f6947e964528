"""Follow roll-outs: choose versions, judge the new one, store the state.

Every daemon judges by what it sees itself and may store any next state. A
state is appended only where the topic still ends where this daemon read it
to, so that of two daemons one succeeds and the other reads its state.
"""

import asyncio
import random
from collections.abc import Callable, Iterator

from marigoldhoist.components.canary.const import (
    COMPLETE_AT,
    COMPLETE_LATEST_AT,
    STATUS_PAUSE_S,
    STATUS_WAIT_S,
    TICK_S,
    WRITE_SPREAD_S,
)
from marigoldhoist.components.canary.events import (
    ROLL_OUT_MOVED,
    ROLL_OUT_ORDERED,
    STATUS_NOT_WRITTEN,
    STATUS_WRITTEN,
    VERSION_FOUND_BAD,
)
from marigoldhoist.components.canary.judge import SeenAnswer, VersionJudge
from marigoldhoist.components.canary.models import (
    RollOut,
    RollOutOrder,
    RollOutState,
    RollOutStatus,
)
from marigoldhoist.components.canary.shares import (
    SessionMemory,
    position_of,
    share_of_target,
)
from marigoldhoist.components.directory.const import COMPONENT as DIRECTORY
from marigoldhoist.components.directory.models import ReplicaEntry
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.feeds.const import COMPONENT as FEEDS
from marigoldhoist.components.feeds.errors import (
    ConditionFailedError,
    StoreUnavailableError,
)
from marigoldhoist.components.feeds.feed import FeedNews, FeedPlan
from marigoldhoist.components.feeds.models import Topic
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel
from marigoldhoist.core.promises import PromiseSettings

# Returns the topic's key and the record of a status.
EncodeStatus = Callable[[RollOutStatus], tuple[str, bytes]]


class CanaryService(BaseService):
    """Roll-outs by service."""

    def __init__(self, kernel: Kernel) -> None:
        self._promises = kernel.settings.section(PromiseSettings)
        self._directory = kernel.find(DIRECTORY, DirectoryService)
        self._feeds = kernel.find(FEEDS, FeedService)
        self._judge_by_service: dict[str, VersionJudge] = {}
        self._sessions = SessionMemory(self._promises.session_gap_ms / MS_PER_S)
        self._tell_status: Callable[[FeedNews], None] | None = None
        self._encode: EncodeStatus | None = None
        self._writer: asyncio.Task[None] | None = None
        self.roll_out_by_service: dict[str, RollOut] = {}

    def attach(
        self, tell_status: Callable[[FeedNews], None], encode: EncodeStatus
    ) -> None:
        """Use that translation of stored states."""
        self._tell_status = tell_status
        self._encode = encode

    def start(self) -> None:
        """Begin to move roll-outs on."""
        self._writer = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop moving roll-outs on."""
        if self._writer is not None:
            self._writer.cancel()

    def take_order(self, order: RollOutOrder) -> None:
        """Take the operator's newest order for a service."""
        known = self.roll_out_by_service.get(order.service)
        if known is not None and known.order == order:
            return
        now_s = SYSTEM_CLOCK.boottime_s()
        self.roll_out_by_service[order.service] = RollOut(order, now_s)
        self._judge_by_service[order.service] = VersionJudge()
        emit(
            ROLL_OUT_ORDERED,
            service=order.service,
            target=order.target,
            allowed_s=order.allowed_s,
        )
        self._follow_status()

    def take_status(self, status: RollOutStatus) -> None:
        """Take a stored state; a final one stays."""
        roll_out = self.roll_out_by_service.get(status.service)
        if roll_out is None or roll_out.order.target != status.target:
            return
        if roll_out.state.is_final or roll_out.state is status.state:
            return
        roll_out.state = status.state
        emit(
            ROLL_OUT_MOVED,
            service=status.service,
            target=status.target,
            state=status.state.value,
        )

    def versions(self, service: str, session: str) -> tuple[str, ...]:
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
        return others or ((target,) if progress > COMPLETE_AT else ())

    def note_answer(
        self, entry: ReplicaEntry, session: str, answer: SeenAnswer
    ) -> None:
        """Take in an answer of a version, for the judge and the session."""
        if session and not answer.is_failure:
            self.keep_session(session, entry.version)
        roll_out = self.roll_out_by_service.get(entry.service)
        if roll_out is None or roll_out.state.is_final or roll_out.is_held:
            return
        self._judge(roll_out, entry.version, answer)

    def keep_session(self, session: str, version: str) -> None:
        """Note that a session still uses a version."""
        if session:
            self._sessions.note(session, version, SYSTEM_CLOCK.boottime_s())

    def _judge(
        self, roll_out: RollOut, version: str, answer: SeenAnswer
    ) -> None:
        order = roll_out.order
        judge = self._judge_by_service[order.service]
        judge.note(version, answer)
        complaint = judge.complaint(order.target)
        if not complaint:
            return
        roll_out.is_held = True
        emit(
            VERSION_FOUND_BAD,
            service=order.service,
            version=order.target,
            reason=complaint,
        )

    @property
    def _is_status_known(self) -> bool:
        feed = self._feeds.feed_by_topic.get(Topic.STATUS)
        return feed is not None and feed.end is not None

    def _gets_target(self, roll_out: RollOut, session: str) -> bool:
        if not self._is_status_known:
            return False
        now_s = SYSTEM_CLOCK.boottime_s()
        progress = roll_out.progress(now_s)
        share = share_of_target(progress, self._promises.canary_share)
        known = self._sessions.version_of(session, now_s) if session else ''
        target = roll_out.order.target
        if known == target:
            return True
        key = session or str(random.random())
        is_due = position_of(key) < share
        if known and progress < COMPLETE_LATEST_AT / 2:
            return False
        return is_due

    def _follow_status(self) -> None:
        if (
            self._tell_status is None
            or Topic.STATUS in self._feeds.feed_by_topic
        ):
            return
        plan = FeedPlan(Topic.STATUS, STATUS_WAIT_S, STATUS_PAUSE_S)
        self._feeds.follow(plan, self._tell_status)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for roll_out in self._open_roll_outs():
                wanted = self._wanted_state(roll_out)
                if wanted is not roll_out.state:
                    await self._store(roll_out, wanted)
            if not any(self._open_roll_outs()):
                self._feeds.unfollow(Topic.STATUS)

    def _open_roll_outs(self) -> Iterator[RollOut]:
        for roll_out in tuple(self.roll_out_by_service.values()):
            if not roll_out.state.is_final:
                yield roll_out

    def _wanted_state(self, roll_out: RollOut) -> RollOutState:
        progress = roll_out.progress(SYSTEM_CLOCK.boottime_s())
        if roll_out.is_held:
            return RollOutState.ROLLED_BACK
        if progress > COMPLETE_LATEST_AT:
            return RollOutState.COMPLETED
        if progress > COMPLETE_AT and not self._has_old_work(roll_out):
            return RollOutState.COMPLETED
        if roll_out.state is RollOutState.ORDERED:
            return RollOutState.RUNNING
        return roll_out.state

    def _has_old_work(self, roll_out: RollOut) -> bool:
        return any(
            replica.in_flight
            for replica in self._directory.replica_by_host.values()
            if replica.entry.service == roll_out.order.service
            and replica.entry.version != roll_out.order.target
        )

    async def _store(self, roll_out: RollOut, wanted: RollOutState) -> None:
        """Append the state, unless another daemon is seen to do so first."""
        known = roll_out.state
        if wanted is not RollOutState.ROLLED_BACK:
            await asyncio.sleep(random.random() * WRITE_SPREAD_S)
        feed = self._feeds.feed_by_topic.get(Topic.STATUS)
        if roll_out.state is not known or feed is None or feed.end is None:
            return
        order = roll_out.order
        status = RollOutStatus(order.service, order.target, wanted)
        fields = {
            'service': order.service,
            'target': order.target,
            'state': wanted.value,
            'expected_end': feed.end,
        }
        try:
            await self._append(status, feed.end)
        except (ConditionFailedError, StoreUnavailableError) as error:
            emit(STATUS_NOT_WRITTEN, reason=str(error), **fields)
            await asyncio.sleep(STATUS_PAUSE_S)
            return
        emit(STATUS_WRITTEN, **fields)
        self.take_status(status)

    async def _append(self, status: RollOutStatus, end: int) -> None:
        if self._encode is None:
            return
        key, record = self._encode(status)
        await self._feeds.store.append(Topic.STATUS, key, record, end)
