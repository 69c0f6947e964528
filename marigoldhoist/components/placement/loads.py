"""Estimate the load of replicas from stale load reports.

The number of other daemons' requests at a replica reverts to the mean over all
replicas: of a deviation seen in a report, `exp(-age / decay_time)` remains.
The decay time is shorter than the service time of a request, because the other
daemons balance the load as well.

Each estimate has a spread, within which the load is drawn at random, so that
daemons with the same report choose different replicas. A daemon with several
requests of its own at each replica balances by those instead, so the spread
shrinks as their number grows.
"""

import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Protocol

from marigoldhoist.components.placement.const import (
    DECAY_TIME_SHARE,
    OWN_COUNT_WEIGHT,
    SPREAD_STD_DEVS,
)
from marigoldhoist.components.placement.replicas import ReplicaView


class ReportedLoad(Protocol):
    """A replica's count of its requests and this daemon's part of it."""

    @property
    def in_flight(self) -> int:
        """Return the number of requests that the replica counted."""

    @property
    def own_in_flight(self) -> int:
        """Return how many of the counted requests were this daemon's."""

    @property
    def slots(self) -> int:
        """Return how many requests it batches without slowing down."""

    @property
    def counted_s(self) -> float:
        """Return the time of the count on this daemon's clock, in seconds."""


class LoadedReplica(Protocol):
    """The properties of a replica that a load estimate needs."""

    @property
    def host(self) -> str:
        """Return the name of the replica."""

    @property
    def failure_domain(self) -> str:
        """Return the failure domain of the replica."""

    @property
    def in_flight(self) -> int:
        """Return the number of this daemon's requests in flight at it."""

    @property
    def slots(self) -> int:
        """Return how many requests it batches without slowing down."""

    @property
    def first_seen_s(self) -> float:
        """Return the time this daemon first saw it, in seconds."""

    @property
    def warm_up_s(self) -> float:
        """Return how long it is slow after it was first seen, in seconds."""

    @property
    def report(self) -> ReportedLoad | None:
        """Return its newest load report, None before the first."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadContext:
    """Inputs of the load estimates that are common to all replicas.

    `service_time_s` is the mean time that a request stays at a replica.
    """

    now_s: float
    service_time_s: float
    cached_share_by_host: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )


def replica_views(
    replicas: Sequence[LoadedReplica], context: LoadContext
) -> list[ReplicaView]:
    """Return the estimated load of each replica, in the given order."""
    if not replicas:
        return []
    estimator = _LoadEstimator(replicas, context)
    return [estimator.view(replica) for replica in replicas]


class _LoadEstimator:
    """Estimates loads for one choice among a set of replicas."""

    def __init__(
        self, replicas: Sequence[LoadedReplica], context: LoadContext
    ) -> None:
        own = sum(replica.in_flight for replica in replicas) / len(replicas)
        self._context = context
        self._decay_time_s = context.service_time_s * DECAY_TIME_SHARE
        self._spread_std_devs = SPREAD_STD_DEVS * math.exp(
            -own * OWN_COUNT_WEIGHT
        )
        self._mean_per_slot = _mean_others_per_slot(replicas)

    def view(self, replica: LoadedReplica) -> ReplicaView:
        """Return the estimate for one replica."""
        report = replica.report
        slots = replica.slots
        mean = self._mean_per_slot * slots
        others = mean
        variance = mean
        if report is not None:
            age_s = self._context.now_s - report.counted_s
            remaining = math.exp(-max(0, age_s) / self._decay_time_s)
            counted = _others(report.in_flight, report.own_in_flight)
            others = mean + (counted - mean) * remaining
            variance = (counted * remaining + mean) * (1 - remaining)
        return ReplicaView(
            replica.host,
            replica.failure_domain,
            replica.in_flight + others,
            math.sqrt(variance) * self._spread_std_devs,
            slots,
            self._context.now_s - replica.first_seen_s,
            self._context.cached_share_by_host.get(replica.host, 0),
            warm_up_s=replica.warm_up_s,
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
