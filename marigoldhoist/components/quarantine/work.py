"""Track the requests in flight at each replica."""

import collections
import dataclasses

from marigoldhoist.components.directory.models import Replica, ReplicaStart
from marigoldhoist.components.quarantine.const import ENDED_CALL_MEMORY_S
from marigoldhoist.components.quarantine.part_ids import RequestParts


@dataclasses.dataclass(slots=True, eq=False)
class Work:
    """One attempt at a replica, with the parts of its request.

    One that is still connecting has not been sent. `first_event_s` is the boot
    time of its first stream event. It counts as answered once it is complete
    or has sent events for long enough.
    """

    replica: Replica
    parts: RequestParts
    is_sent: bool = False
    is_answered: bool = False
    first_event_s: float | None = None

    @property
    def start(self) -> ReplicaStart:
        """Return the replica and its start."""
        return self.replica.entry.start


@dataclasses.dataclass(slots=True)
class _ReplicaWork:
    """The attempts in flight, and those that ended without an answer."""

    in_flight: set[Work] = dataclasses.field(default_factory=set)
    ended: collections.deque[tuple[float, Work]] = dataclasses.field(
        default_factory=collections.deque
    )

    def drop_older(self, than_s: float) -> None:
        """Drop the attempts that ended before a time."""
        while self.ended and self.ended[0][0] < than_s:
            self.ended.popleft()


class WorkTracker:
    """The attempts of this daemon by replica."""

    def __init__(self) -> None:
        self._work_by_start: dict[ReplicaStart, _ReplicaWork] = {}

    def begin(self, work: Work) -> None:
        """Track an attempt that begins now."""
        at_replica = self._work_by_start.setdefault(work.start, _ReplicaWork())
        at_replica.in_flight.add(work)

    def end(self, work: Work, now_s: float) -> None:
        """Record the end of an attempt.

        One that was sent and has no answer may still run, until the replica
        notices that its connection was closed.
        """
        at_replica = self._work_by_start.get(work.start)
        if at_replica is None:
            return
        at_replica.in_flight.discard(work)
        at_replica.drop_older(now_s - ENDED_CALL_MEMORY_S)
        if work.is_sent and not work.is_answered:
            work.parts.release_fields()
            at_replica.ended.append((now_s, work))

    def depth_by_part(
        self, start: ReplicaStart, noticed_s: float
    ) -> dict[str, int]:
        """Return the parts in flight when the end of a replica was noticed."""
        at_replica = self._work_by_start.get(start, _ReplicaWork())
        ended = [
            work
            for ended_s, work in at_replica.ended
            if ended_s >= noticed_s - ENDED_CALL_MEMORY_S
        ]
        in_flight = (work for work in at_replica.in_flight if work.is_sent)
        return {
            part_id: depth
            for work in (*in_flight, *ended)
            for depth, part_id in enumerate(work.parts.ids)
        }

    def forget(self, replica: Replica) -> None:
        """Drop the attempts at a replica that is gone."""
        self._work_by_start.pop(replica.entry.start, None)
