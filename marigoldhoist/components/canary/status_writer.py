"""Store the states of roll-outs as they move on.

Every daemon may store any next state. A state is appended only where the
topic still ends where this daemon read it to, so that of two daemons one
succeeds and the other reads its state.
"""

import asyncio
import random
from collections.abc import Callable, Iterator, Mapping

from marigoldhoist.components.canary.const import (
    STATUS_PAUSE_S,
    TICK_S,
    WRITE_SPREAD_S,
)
from marigoldhoist.components.canary.events import (
    STATUS_NOT_WRITTEN,
    STATUS_WRITTEN,
)
from marigoldhoist.components.canary.models import (
    RollOut,
    RollOutState,
    RollOutStatus,
)
from marigoldhoist.components.canary.shares import MovePlan
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.feeds.errors import (
    ConditionFailedError,
    StoreUnavailableError,
)
from marigoldhoist.components.feeds.models import Topic
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import emit

# Returns the topic's key and the record of a status.
EncodeStatus = Callable[[RollOutStatus], tuple[str, bytes]]


class StatusWriter:
    """Stores the next state of each roll-out once it is due."""

    def __init__(
        self,
        roll_out_by_service: Mapping[str, RollOut],
        plan: MovePlan,
        directory: DirectoryService,
        feeds: FeedService,
        encode: EncodeStatus,
    ) -> None:
        self._roll_out_by_service = roll_out_by_service
        self._plan = plan
        self._directory = directory
        self._feeds = feeds
        self._encode = encode

    async def run(self) -> None:
        """Store what is due until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            await asyncio.gather(*map(self._move_on, self._open_roll_outs()))
            if not any(self._open_roll_outs()):
                self._feeds.unfollow(Topic.STATUS)

    async def _move_on(self, roll_out: RollOut) -> None:
        wanted = wanted_state(
            roll_out,
            self._plan,
            has_old_work=self._has_old_work(roll_out),
        )
        if wanted is not roll_out.state:
            await self._store(roll_out, wanted)

    def _open_roll_outs(self) -> Iterator[RollOut]:
        for roll_out in tuple(self._roll_out_by_service.values()):
            if not roll_out.state.is_final:
                yield roll_out

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
        roll_out.state = wanted

    async def _append(self, status: RollOutStatus, end: int) -> None:
        key, record = self._encode(status)
        await self._feeds.store.append(Topic.STATUS, key, record, end)


def wanted_state(
    roll_out: RollOut, plan: MovePlan, *, has_old_work: bool
) -> RollOutState:
    """Return the state that a roll-out should have now."""
    progress = roll_out.progress(SYSTEM_CLOCK.boottime_s())
    if roll_out.is_held:
        return RollOutState.ROLLED_BACK
    is_over = progress > plan.all_moved_at and not has_old_work
    if is_over or progress > plan.latest_end_at:
        return RollOutState.COMPLETED
    if roll_out.state is RollOutState.ORDERED:
        return RollOutState.RUNNING
    return roll_out.state
