"""Limit the replicas that one daemon knows, so that cost does not grow."""

from collections.abc import Sequence

import xxhash

from marigoldhoist.components.routing.const import (
    SUBSET_FAR_REPLICAS,
    SUBSET_NEAR_REPLICAS,
)
from marigoldhoist.components.upstreams.models import Replica


def replica_subset(
    replicas: Sequence[Replica], daemon: str, failure_domain: str
) -> list[Replica]:
    """Return the daemon's own replicas, mostly of its failure domain.

    Rendezvous hashing spreads the daemons over the replicas and moves only
    one choice for each replica that comes or goes. Where a side has too few,
    the other makes up for it.
    """
    near = _ranked(replicas, daemon, failure_domain, is_near=True)
    far = _ranked(replicas, daemon, failure_domain, is_near=False)
    whole = SUBSET_NEAR_REPLICAS + SUBSET_FAR_REPLICAS
    near_count = max(SUBSET_NEAR_REPLICAS, whole - len(far))
    chosen_near = near[:near_count]
    return chosen_near + far[: whole - len(chosen_near)]


def _ranked(
    replicas: Sequence[Replica],
    daemon: str,
    failure_domain: str,
    *,
    is_near: bool,
) -> list[Replica]:
    side = [
        replica
        for replica in replicas
        if (replica.failure_domain == failure_domain) is is_near
    ]
    return sorted(side, key=lambda replica: _rank(daemon, replica.host))


def _rank(daemon: str, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{daemon}\0{host}'.encode())
