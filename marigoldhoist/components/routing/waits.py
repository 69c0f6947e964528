"""Estimate how long a version takes to its first token."""

import dataclasses
from collections.abc import Iterable

from marigoldhoist.components.routing.const import SLOTS_PER_BATCH
from marigoldhoist.components.routing.times import StageTimes
from marigoldhoist.components.upstreams.models import Replica


@dataclasses.dataclass(frozen=True, slots=True)
class LeastLoad:
    """The requests and the slots of the least loaded replica."""

    in_flight: int
    slots: int

    def wait_s(self, times: StageTimes) -> float:
        """Return the expected seconds to the first token there."""
        return times.wait_s(self.in_flight, self.slots * SLOTS_PER_BATCH)


def least_load(replicas: Iterable[Replica]) -> LeastLoad | None:
    """Return the load of the least loaded replica, none of none.

    Reports count as they came; own requests are counted now.
    """
    least = min(replicas, key=_use, default=None)
    if least is None:
        return None
    return LeastLoad(_in_flight(least), least.slots)


def _use(replica: Replica) -> float:
    return _in_flight(replica) / replica.slots


def _in_flight(replica: Replica) -> int:
    report = replica.report
    if report is None:
        return replica.in_flight
    others = max(0, report.in_flight - report.own_in_flight)
    return replica.in_flight + others
