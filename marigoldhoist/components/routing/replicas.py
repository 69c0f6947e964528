"""Choose a replica by its estimated load.

Every replica's score is its expected use, in requests per slot. The estimate
is drawn at random within its uncertainty, so that daemons with the same stale
report spread over the replicas that the report cannot tell apart.
"""

import dataclasses
import math
import random
from collections.abc import Sequence

from marigoldhoist.components.routing.const import (
    AFFINITY_BONUS,
    AFFINITY_BOUND,
    MIN_WARM_SHARE,
    SLOW_START_S,
    SPILL_MARGIN,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaView:
    """One replica as a choice sees it.

    The expected requests in flight there and their standard deviation, the
    slots that it batches without slowing down, the seconds since it was first
    seen, and the share of the prompt that its prefix cache should hold.
    """

    host: str
    failure_domain: str
    in_flight: float
    spread: float
    slots: int
    known_s: float = math.inf
    cached_share: float = 0

    @property
    def use(self) -> float:
        """Return the expected requests per slot, with this request."""
        return (self.in_flight + 1) / (self.slots * self._warm_share)

    @property
    def _warm_share(self) -> float:
        warm = self.known_s / SLOW_START_S
        return min(1, max(MIN_WARM_SHARE, warm))

    def drawn_use(self, rng: random.Random) -> float:
        """Return the use with the request count drawn at random."""
        drawn = max(0, rng.gauss(self.in_flight, self.spread))
        return (drawn + 1) / (self.slots * self._warm_share)


@dataclasses.dataclass(frozen=True, slots=True)
class PickContext:
    """The chooser's failure domain and its source of chance."""

    failure_domain: str
    rng: random.Random


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
    bound = _affinity_bound(views)
    return min(views, key=lambda view: _score(view, bound, context))


def _score(view: ReplicaView, bound: float, context: PickContext) -> float:
    score = view.drawn_use(context.rng)
    if view.failure_domain != context.failure_domain:
        score += SPILL_MARGIN
    if view.cached_share and view.use <= bound:
        score -= AFFINITY_BONUS * view.cached_share
    return score


def _affinity_bound(views: Sequence[ReplicaView]) -> float:
    """Return the use up to which a cached prefix attracts work."""
    in_flight = sum(view.in_flight for view in views)
    slots = sum(view.slots for view in views)
    return AFFINITY_BOUND * (in_flight + len(views)) / slots
