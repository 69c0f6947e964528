"""What replicas announce about themselves in their answers."""

import dataclasses
import random
from collections.abc import Callable, Iterable
from typing import Final

from marigoldhoist.components.directory.events import (
    BRITTLE_REPLICA_REJECTED,
    REPLICA_ANNOUNCED_LEAVING,
    REPLICA_BRITTLE,
    REPLICA_CLOSED,
    REPLICA_LIMITED,
)
from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.directory.rate_limit import SharedRateLimit
from marigoldhoist.components.directory.shared_room import SharedRoom
from marigoldhoist.core.clock import SYSTEM_CLOCK, SystemClock
from marigoldhoist.core.events import emit


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What a replica announced in one answer.

    `limit_per_s` is the rate of requests that it takes from all daemons
    together, None if it names no limit. `closed_for_s` is how long it wants no
    requests of this daemon. `rejections_per_s` is how many requests it can turn
    away in a second without falling over, None if it is not brittle.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    closed_for_s: float = 0
    rejections_per_s: float | None = None


NO_ANNOUNCEMENT: Final = Announcement()


def _no_siblings(_replica: Replica) -> Iterable[Replica]:
    return ()


class AnnouncementRecorder:
    """Records the announcements of replicas.

    `fleet_size` returns the number of daemons that share a replica's limit,
    `siblings` the other replicas of a replica's service.
    """

    def __init__(
        self,
        fleet_size: Callable[[], int],
        rng: random.Random,
        clock: SystemClock = SYSTEM_CLOCK,
        siblings: Callable[[Replica], Iterable[Replica]] = _no_siblings,
    ) -> None:
        self._fleet_size = fleet_size
        self._rng = rng
        self._clock = clock
        self._siblings = siblings

    def record(
        self, replica: Replica, announcement: Announcement, request_id: str
    ) -> None:
        """Apply what a replica announced in its answer to a request."""
        if announcement.is_leaving and not replica.is_leaving:
            self._leave(replica)
        if announcement.closed_for_s:
            self._close(replica, announcement.closed_for_s, request_id)
        self._limit(replica, announcement.limit_per_s)
        self._share_room(replica, announcement.rejections_per_s)

    def record_rejection(self, replica: Replica) -> None:
        """Stay away from a brittle replica that turned a request away."""
        if replica.room is None:
            return
        pause_s = replica.room.note_rejection(self._clock.boottime_s())
        emit(
            BRITTLE_REPLICA_REJECTED,
            replica=replica.host,
            service=replica.entry.service,
            for_s=round(pause_s, 3),
            in_flight=replica.in_flight,
        )

    def _leave(self, replica: Replica) -> None:
        """Give a replica no new requests until it is started anew."""
        replica.is_leaving = True
        emit(
            REPLICA_ANNOUNCED_LEAVING,
            replica=replica.host,
            service=replica.entry.service,
            in_flight=replica.in_flight,
            known_for_s=replica.known_for_s(self._clock.boottime_s()),
        )

    def _close(
        self, replica: Replica, closed_for_s: float, request_id: str
    ) -> None:
        """Give a replica no requests for a time."""
        until_s = self._clock.boottime_s() + closed_for_s
        replica.closed_until_s = max(replica.closed_until_s, until_s)
        emit(
            REPLICA_CLOSED,
            request_id=request_id,
            replica=replica.host,
            service=replica.entry.service,
            for_s=closed_for_s,
            in_flight=replica.in_flight,
            known_for_s=replica.known_for_s(self._clock.boottime_s()),
        )

    def _limit(self, replica: Replica, limit_per_s: float | None) -> None:
        known = replica.rate_limit
        before_per_s = known.rate_per_s if known else None
        if before_per_s != limit_per_s:
            self._log_limit(replica, limit_per_s, before_per_s)
        if limit_per_s is None:
            replica.rate_limit = None
            return
        replica.rate_limit = known or SharedRateLimit(self._rng)
        replica.rate_limit.update(
            limit_per_s, self._fleet_size(), self._clock.boottime_s()
        )

    def _share_room(
        self, replica: Replica, rejections_per_s: float | None
    ) -> None:
        if (replica.room is None) is not (rejections_per_s is None):
            emit(
                REPLICA_BRITTLE,
                replica=replica.host,
                service=replica.entry.service,
                rejections_per_s=rejections_per_s,
                daemons=self._fleet_size(),
                known_for_s=replica.known_for_s(self._clock.boottime_s()),
            )
        if rejections_per_s is None:
            replica.room = None
            return
        unheard = (
            sibling
            for sibling in self._siblings(replica)
            if sibling.report is None
        )
        for brittle in (replica, *unheard):
            brittle.room = brittle.room or SharedRoom()
            brittle.room.update(rejections_per_s, self._fleet_size())

    def _log_limit(
        self,
        replica: Replica,
        limit_per_s: float | None,
        before_per_s: float | None,
    ) -> None:
        emit(
            REPLICA_LIMITED,
            replica=replica.host,
            service=replica.entry.service,
            limit_per_s=limit_per_s,
            before=before_per_s,
            daemons=self._fleet_size(),
            known_for_s=replica.known_for_s(self._clock.boottime_s()),
        )
