"""Estimate how long a version takes to its first token."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Final

from marigoldhoist.components.routing.const import SLOTS_PER_BATCH
from marigoldhoist.components.routing.times import StageTimes
from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.core.clock import SYSTEM_CLOCK, Clock

KEPT_S: Final = 0.25

Find = Callable[[str], list[Replica]]


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


class NearReplicas:
    """Finds replicas anew after a while, as to find them costs much.

    Only waits are estimated from them; a request that is sent finds its
    replicas itself.
    """

    def __init__(self, find: Find, clock: Clock = SYSTEM_CLOCK) -> None:
        self._find = find
        self._clock = clock
        self._found: dict[str, tuple[float, list[Replica]]] = {}

    def of(self, serving: str) -> list[Replica]:
        """Return the replicas that take new work."""
        now_s = self._clock.monotonic_s()
        known = self._found.get(serving)
        if known is None or known[0] < now_s:
            known = (now_s + KEPT_S, self._find(serving))
            self._found[serving] = known
        return [replica for replica in known[1] if not replica.is_leaving]
