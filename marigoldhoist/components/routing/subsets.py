"""Limit each daemon to a subset of the replicas.

The subset bounds a daemon's costs regardless of the number of replicas.
"""

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
    """Return the daemon's subset, mostly replicas of its failure domain.

    Rendezvous hashing spreads the daemons over the replicas, and each added or
    removed replica changes only one entry of a subset. If the daemon's failure
    domain has too few replicas, the subset is filled up from the other
    domains, and vice versa.
    """
    near = _ranked_by_hash(replicas, daemon, failure_domain, is_near=True)
    far = _ranked_by_hash(replicas, daemon, failure_domain, is_near=False)
    subset_size = SUBSET_NEAR_REPLICAS + SUBSET_FAR_REPLICAS
    near_count = max(SUBSET_NEAR_REPLICAS, subset_size - len(far))
    chosen_near = near[:near_count]
    return chosen_near + far[: subset_size - len(chosen_near)]


def _ranked_by_hash(
    replicas: Sequence[Replica],
    daemon: str,
    failure_domain: str,
    *,
    is_near: bool,
) -> list[Replica]:
    candidates = [
        replica
        for replica in replicas
        if (replica.failure_domain == failure_domain) is is_near
    ]
    return sorted(
        candidates, key=lambda replica: _rendezvous_hash(daemon, replica.host)
    )


def _rendezvous_hash(daemon: str, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{daemon}\0{host}'.encode())
