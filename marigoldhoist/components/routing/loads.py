"""Estimate the load of replicas from reports that lag.

The requests of other daemons at a replica are taken as a birth-death process:
a count that was seen `age` seconds ago says `exp(-age / service time)` of what
a fresh one would, and the rest is the mean over the replicas.
"""

import dataclasses
import math
from collections.abc import Mapping, Sequence

from marigoldhoist.components.routing.replicas import ReplicaView
from marigoldhoist.components.upstreams.models import Replica


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
    replicas: Sequence[Replica], context: LoadContext
) -> list[ReplicaView]:
    """Return the estimated load of each replica, in their order."""
    mean_per_slot = _mean_others_per_slot(replicas)
    return [_view(replica, mean_per_slot, context) for replica in replicas]


def _view(
    replica: Replica, mean_per_slot: float, context: LoadContext
) -> ReplicaView:
    slots = replica.slots
    mean = mean_per_slot * slots
    others = mean
    variance = mean
    report = replica.report
    if report is not None:
        age_s = max(0, context.now_s - report.counted_s)
        kept = math.exp(-age_s / context.service_time_s)
        counted = _others(report.in_flight, report.own_in_flight)
        others = counted * kept + mean * (1 - kept)
        variance = (counted * kept + mean) * (1 - kept)
    return ReplicaView(
        host=replica.host,
        failure_domain=replica.failure_domain,
        in_flight=replica.in_flight + others,
        spread=math.sqrt(variance),
        slots=slots,
        known_s=context.now_s - replica.first_seen_s,
        cached_share=context.cached_share_by_host.get(replica.host, 0),
    )


def _mean_others_per_slot(replicas: Sequence[Replica]) -> float:
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
