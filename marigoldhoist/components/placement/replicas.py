"""Choose a replica by its estimated load.

Every replica's score is its expected use, in requests per slot. The estimate
is drawn at random within its uncertainty, so that daemons with the same stale
report spread over the replicas that the report cannot tell apart.
"""

import dataclasses
import math
import random
from collections.abc import Sequence

from marigoldhoist.components.placement.const import (
    AFFINITY_BONUS,
    AFFINITY_BOUND,
    MIDDLE,
    MIN_WARM_SHARE,
    SLOW_START_S,
    SPILL_MARGIN,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaView:
    """One replica as a choice sees it.

    The expected requests in flight there, the width of the interval that
    they are drawn from, the slots that it batches without slowing down, the
    seconds since it was first seen, the share of the prompt that its prefix
    cache should hold, and what its failures count for, in requests per slot.
    """

    host: str
    failure_domain: str
    in_flight: float
    spread: float
    slots: int
    known_s: float = math.inf
    cached_share: float = 0
    penalty: float = 0

    @property
    def use(self) -> float:
        """Return the expected requests per slot, with this request."""
        return (self.in_flight + 1) / self.warm_slots

    @property
    def warm_slots(self) -> float:
        """Return the slots, fewer while the replica is new."""
        if self.known_s >= SLOW_START_S:
            return self.slots
        return self.slots * max(MIN_WARM_SHARE, self.known_s / SLOW_START_S)


@dataclasses.dataclass(frozen=True, slots=True)
class PickContext:
    """The chooser's failure domain, its source of chance, and its weights.

    The margin and the bonus are in requests per slot. A prefix attracts work
    up to the bound, as a multiple of the mean load plus the headroom.
    """

    failure_domain: str
    rng: random.Random
    spill_margin: float = SPILL_MARGIN
    affinity_bonus: float = AFFINITY_BONUS
    affinity_headroom: float = 0


def pick_replica(
    views: Sequence[ReplicaView], context: PickContext
) -> ReplicaView | None:
    """Pick the least used replica, or none of none.

    A replica of another failure domain counts as busier by a margin, so work
    spills over once the own domain is busier by that margin. One that holds
    the prompt's prefix counts as less busy while its load is within bounds.
    """
    if not views:
        return None
    bound = _affinity_bound(views) + context.affinity_headroom
    return min(views, key=lambda view: _score(view, bound, context))


def _score(view: ReplicaView, bound: float, context: PickContext) -> float:
    slots = view.warm_slots
    in_flight = view.in_flight
    if view.spread:
        in_flight += (context.rng.random() - MIDDLE) * view.spread
        in_flight = max(0, in_flight)
    score = (in_flight + 1) / slots + view.penalty
    if view.failure_domain != context.failure_domain:
        score += context.spill_margin
    if view.cached_share and (view.in_flight + 1) / slots <= bound:
        score -= context.affinity_bonus * view.cached_share
    return score


def _affinity_bound(views: Sequence[ReplicaView]) -> float:
    """Return the requests per slot up to which a prefix attracts work."""
    in_flight = sum(view.in_flight for view in views)
    slots = sum(view.slots for view in views)
    return AFFINITY_BOUND * (in_flight + len(views)) / slots
