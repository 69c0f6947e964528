"""Store the states of roll-outs as they change.

Every daemon may store the next state. Appends are conditional on the end offset
up to which this daemon has read the topic, so that of two concurrent writers
one succeeds and the other reads the state that was stored.
"""

import asyncio
import random
from collections.abc import Iterator

from marigoldhoist.components.canary.const import (
    CONTROL_DRAIN_S,
    STATUS_CHECK_INTERVAL_S,
    STATUS_PAUSE_S,
    STATUS_WRITE_JITTER_S,
)
from marigoldhoist.components.canary.context import StorageContext
from marigoldhoist.components.canary.events import (
    REJECTION_STORED,
    STATUS_LOST,
    STATUS_NOT_WRITTEN,
    STATUS_WRITTEN,
)
from marigoldhoist.components.canary.gate import RollOutGate
from marigoldhoist.components.canary.models import (
    RollOut,
    RollOutOrder,
    RollOutState,
    RollOutStatus,
)
from marigoldhoist.components.canary.rejections import Rejection
from marigoldhoist.components.canary.traffic_split import RampSchedule
from marigoldhoist.components.feeds.errors import (
    ConditionFailedError,
    StoreUnavailableError,
)
from marigoldhoist.components.feeds.models import (
    NewRecord,
    Position,
    Topic,
)
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import emit


class StatusWriter:
    """Background task that stores each roll-out's state when it is due."""

    def __init__(self, context: StorageContext) -> None:
        self._roll_out_by_service = context.roll_out_by_service
        self._rejections = context.rejections
        self._schedule = context.schedule
        self._analysis = context.analysis
        self._gate = RollOutGate(context.analysis, context.schedule)
        self._directory = context.directory
        self._feeds = context.feeds
        self._codec = context.codec

    async def run(self) -> None:
        """Store due and lost states until cancelled.

        The status topic is unfollowed when every roll-out is final, and the
        states and rejections are stored in the newest era of the store.
        """
        while True:
            await asyncio.sleep(STATUS_CHECK_INTERVAL_S)
            await asyncio.gather(*map(self._advance, self._open_roll_outs()))
            for roll_out in self._roll_out_by_service.values():
                if roll_out.state is RollOutState.ROLLED_BACK:
                    self._rejections.reject(roll_out.order)
            unstored = self._rejections.unstored(self._feeds.era)
            if not unstored and not any(self._open_roll_outs()):
                self._feeds.unfollow(Topic.STATUS)

    async def _advance(self, roll_out: RollOut) -> None:
        if roll_out.state.is_final:
            await self._store(roll_out, roll_out.state)
            return
        self._gate.update_ramp(roll_out)
        self._gate.update_control_group(roll_out)
        desired = desired_state(
            roll_out,
            self._schedule,
            has_old_requests=self._has_old_requests(roll_out),
        )
        if desired is RollOutState.COMPLETED and not self._gate.may_complete(
            roll_out
        ):
            desired = RollOutState.RUNNING
        is_lost = not roll_out.is_stored_in(self._feeds.era)
        if desired is not roll_out.state or is_lost:
            await self._store(roll_out, desired)

    def _open_roll_outs(self) -> Iterator[RollOut]:
        era = self._feeds.era
        for roll_out in tuple(self._roll_out_by_service.values()):
            if not (roll_out.state.is_final and roll_out.is_stored_in(era)):
                yield roll_out

    def _has_old_requests(self, roll_out: RollOut) -> bool:
        return any(
            replica.in_flight
            for replica in self._directory.replica_by_host.values()
            if replica.entry.service == roll_out.order.service
            and replica.entry.version != roll_out.order.target
        )

    async def _store(self, roll_out: RollOut, desired: RollOutState) -> None:
        """Append the state unless a change is read during the write delay."""
        known = (roll_out.state, roll_out.stored_era)
        is_urgent = desired is RollOutState.ROLLED_BACK
        if not is_urgent or roll_out.is_found_elsewhere:
            await asyncio.sleep(random.random() * STATUS_WRITE_JITTER_S)
        feed = self._feeds.feed_by_topic.get(Topic.STATUS)
        end = feed.position if feed else None
        if end is None or known != (roll_out.state, roll_out.stored_era):
            return
        if end.era != self._feeds.era:
            # The feed has yet to read what the store holds in its newest era.
            return
        order = roll_out.order
        status = RollOutStatus(order.service, order.target, desired)
        fields = {
            'service': order.service,
            'target': order.target,
            'state': desired.value,
            'expected_end': end.offset,
            'era': end.era,
        }
        if desired is roll_out.state:
            emit(STATUS_LOST, stored_era=roll_out.stored_era, **fields)
        try:
            await self._append(status, order, end)
        except (ConditionFailedError, StoreUnavailableError) as error:
            emit(STATUS_NOT_WRITTEN, reason=str(error), **fields)
            await asyncio.sleep(STATUS_PAUSE_S)
            return
        assessment = self._analysis.assess(order.service)
        emit(STATUS_WRITTEN, **fields, **assessment.log_fields())
        roll_out.state = desired
        roll_out.stored_era = end.era

    async def _append(
        self, status: RollOutStatus, order: RollOutOrder, end: Position
    ) -> None:
        """Append a state, after the rejection if it is a roll-back.

        The next order may follow the roll-back at once, and a daemon that
        starts then learns of the rejection from its record alone.
        """
        records = [NewRecord(*self._codec.encode_status(status))]
        if status.state is not RollOutState.ROLLED_BACK:
            await self._feeds.store.append(Topic.STATUS, records, end)
            return
        rejection = Rejection(order.service, order.target, order.mark)
        records.insert(0, NewRecord(*self._codec.encode_rejection(rejection)))
        await self._feeds.store.append(Topic.STATUS, records, end)
        self._rejections.read(rejection, end.era)
        emit(REJECTION_STORED, era=end.era, **rejection.identity_fields())


def desired_state(
    roll_out: RollOut, schedule: RampSchedule, *, has_old_requests: bool
) -> RollOutState:
    """Return the state that a roll-out should have now.

    `has_old_requests` is true while requests to replicas of other versions are
    in flight; these delay the completion until `drain_ends_at`.
    """
    now_s = SYSTEM_CLOCK.boottime_s()
    progress = roll_out.traffic_progress(now_s, schedule.ramp_starts_at)
    if roll_out.is_rejected:
        return RollOutState.ROLLED_BACK
    is_released = now_s - roll_out.confirmed_s >= CONTROL_DRAIN_S
    is_over = progress > schedule.ramp_ends_at and not has_old_requests
    if is_released and (is_over or progress > schedule.drain_ends_at):
        return RollOutState.COMPLETED
    if roll_out.state is RollOutState.ORDERED:
        return RollOutState.RUNNING
    return roll_out.state
