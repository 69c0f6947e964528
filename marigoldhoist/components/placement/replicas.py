"""Choose a replica by its estimated load.

The score of a replica is its expected load, in requests per slot, with
corrections for distance, failures and cached prefixes; the lowest score wins.
The load is drawn at random from the interval of its uncertainty. Daemons with
the same stale report therefore spread over the replicas whose loads the report
cannot tell apart, instead of all choosing the same replica.
"""

import dataclasses
import math
import random
from collections.abc import Sequence

from marigoldhoist.components.placement.const import (
    AFFINITY_BONUS,
    AFFINITY_BOUND,
    MIN_WARM_SHARE,
    SLOW_START_S,
    SPILL_MARGIN,
    UNIFORM_MEAN,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaView:
    """The load estimate and attributes of one candidate replica.

    `in_flight` is the expected number of requests there and `spread` the width
    of the interval around it that the load is drawn from. `slots` is how many
    requests it batches without slowing down, `age_s` the time since it was
    first seen and `warm_up_s` how long it is slow from then on. `cached_share`
    is the share of the prompt presumably in its prefix cache. `penalty`, in
    requests per slot, is added to its score.
    """

    host: str
    failure_domain: str
    in_flight: float
    spread: float
    slots: int
    age_s: float = math.inf
    cached_share: float = 0
    penalty: float = 0
    warm_up_s: float = SLOW_START_S

    @property
    def utilization(self) -> float:
        """Return the expected requests per slot, including this request."""
        return (self.in_flight + 1) / self.warm_slots

    @property
    def warm_slots(self) -> float:
        """Return the effective slots, which ramp up during the slow start."""
        if self.age_s >= self.warm_up_s:
            return self.slots
        return self.slots * max(MIN_WARM_SHARE, self.age_s / self.warm_up_s)


@dataclasses.dataclass(frozen=True, slots=True)
class PickContext:
    """The daemon's failure domain, its random generator and the weights.

    `spill_margin` and `affinity_bonus` are in requests per slot. A cached
    prefix lowers the score of a replica whose load, in requests per slot, is
    at most a multiple of the mean load plus `affinity_headroom`.
    """

    failure_domain: str
    rng: random.Random
    spill_margin: float = SPILL_MARGIN
    affinity_bonus: float = AFFINITY_BONUS
    affinity_headroom: float = 0


def pick_replica(
    views: Sequence[ReplicaView], context: PickContext
) -> ReplicaView | None:
    """Return the replica with the lowest score, None without candidates.

    The spill margin is added to the score of replicas in other failure
    domains, so requests spill over only when the own domain is busier by that
    margin. The affinity bonus is subtracted, in proportion to the cached share
    of the prompt, while the load of the replica is within the affinity bound.
    """
    if not views:
        return None
    bound = _affinity_bound(views) + context.affinity_headroom
    return min(views, key=lambda view: _score(view, bound, context))


def _score(view: ReplicaView, bound: float, context: PickContext) -> float:
    slots = view.warm_slots
    in_flight = view.in_flight
    if view.spread:
        in_flight += (context.rng.random() - UNIFORM_MEAN) * view.spread
        in_flight = max(0, in_flight)
    score = (in_flight + 1) / slots + view.penalty
    if view.failure_domain != context.failure_domain:
        score += context.spill_margin
    if view.cached_share and (view.in_flight + 1) / slots <= bound:
        score -= context.affinity_bonus * view.cached_share
    return score


def _affinity_bound(views: Sequence[ReplicaView]) -> float:
    """Return the load, in requests per slot, that limits prefix affinity."""
    in_flight = sum(view.in_flight for view in views)
    slots = sum(view.slots for view in views)
    return AFFINITY_BOUND * (in_flight + len(views)) / slots
