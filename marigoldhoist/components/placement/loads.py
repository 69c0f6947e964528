"""Estimate the load of replicas from reports that lag.

The requests of other daemons at a replica return to the mean over the
replicas: of a difference that a report showed, `exp(-age / memory)` is left.
The memory is shorter than the time a request stays, because the other daemons
even out differences as well.

The spread of an estimate keeps daemons with the same report apart. A daemon
with several requests of its own at each replica evens those out instead, so
the spread shrinks as they grow.
"""

import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Protocol

from marigoldhoist.components.placement.const import (
    MEMORY_SHARE,
    OWN_COUNT_WEIGHT,
    SPREAD_SHARE,
)
from marigoldhoist.components.placement.replicas import ReplicaView


class CountedLoad(Protocol):
    """A replica's own count of its requests, and this daemon's part of it."""

    @property
    def in_flight(self) -> int:
        """Return the requests that the replica counted."""

    @property
    def own_in_flight(self) -> int:
        """Return how many of them were this daemon's."""

    @property
    def slots(self) -> int:
        """Return how many requests it batches without slowing down."""

    @property
    def counted_s(self) -> float:
        """Return when it counted, on this daemon's clock, in seconds."""


class LoadedReplica(Protocol):
    """A replica as estimates need it."""

    @property
    def host(self) -> str:
        """Return its name."""

    @property
    def failure_domain(self) -> str:
        """Return its failure domain."""

    @property
    def in_flight(self) -> int:
        """Return this daemon's requests at it."""

    @property
    def slots(self) -> int:
        """Return how many requests it batches without slowing down."""

    @property
    def first_seen_s(self) -> float:
        """Return when this daemon first saw it, in seconds."""

    @property
    def report(self) -> CountedLoad | None:
        """Return its newest count."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadContext:
    """What the estimates depend on besides the replicas.

    The service time is the mean time that a request stays in a replica.
    """

    now_s: float
    service_time_s: float
    cached_share_by_host: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )


def replica_views(
    replicas: Sequence[LoadedReplica], context: LoadContext
) -> list[ReplicaView]:
    """Return the estimated load of each replica, in their order."""
    if not replicas:
        return []
    estimates = _Estimates(replicas, context)
    return [estimates.view(replica) for replica in replicas]


class _Estimates:
    """What the estimates of one choice have in common."""

    def __init__(
        self, replicas: Sequence[LoadedReplica], context: LoadContext
    ) -> None:
        own = sum(replica.in_flight for replica in replicas) / len(replicas)
        self._context = context
        self._memory_s = context.service_time_s * MEMORY_SHARE
        self._spread_share = SPREAD_SHARE * math.exp(-own * OWN_COUNT_WEIGHT)
        self._mean_per_slot = _mean_others_per_slot(replicas)

    def view(self, replica: LoadedReplica) -> ReplicaView:
        """Return one replica's estimate."""
        report = replica.report
        slots = replica.slots
        mean = self._mean_per_slot * slots
        others = mean
        variance = mean
        if report is not None:
            age_s = self._context.now_s - report.counted_s
            kept = math.exp(-max(0, age_s) / self._memory_s)
            counted = _others(report.in_flight, report.own_in_flight)
            others = mean + (counted - mean) * kept
            variance = (counted * kept + mean) * (1 - kept)
        return ReplicaView(
            replica.host,
            replica.failure_domain,
            replica.in_flight + others,
            math.sqrt(variance) * self._spread_share,
            slots,
            self._context.now_s - replica.first_seen_s,
            self._context.cached_share_by_host.get(replica.host, 0),
        )


def _mean_others_per_slot(replicas: Sequence[LoadedReplica]) -> float:
    others = 0
    slots = 0
    for replica in replicas:
        report = replica.report
        if report is not None:
            others += _others(report.in_flight, report.own_in_flight)
            slots += report.slots
    return others / slots if slots else 0


def _others(in_flight: int, own_in_flight: int) -> int:
    return max(0, in_flight - own_in_flight)
