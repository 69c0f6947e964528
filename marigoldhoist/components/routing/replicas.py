"""Choose a replica by the load this daemon knows."""

import random
from collections.abc import Sequence

from marigoldhoist.components.routing.const import CANDIDATES
from marigoldhoist.components.upstreams.models import Replica


def pick_replica(
    replicas: Sequence[Replica], failure_domain: str, rng: random.Random
) -> Replica | None:
    """Pick the less loaded of two at random, own failure domain first."""
    near = [
        replica
        for replica in replicas
        if replica.failure_domain == failure_domain
    ]
    pool = near or list(replicas)
    if not pool:
        return None
    candidates = rng.sample(pool, min(CANDIDATES, len(pool)))
    return min(candidates, key=lambda replica: replica.in_flight)
