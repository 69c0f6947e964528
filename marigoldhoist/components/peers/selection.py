"""Choose the peers to dial, and how long to wait before dialling again."""

import random
from collections import defaultdict
from collections.abc import Iterable
from functools import partial

import xxhash

from marigoldhoist.components.hosts.models import HostEntry
from marigoldhoist.components.peers.const import (
    LONGEST_BACKOFF_S,
    SHORTEST_BACKOFF_S,
)
from marigoldhoist.core.identity import DaemonSettings


def links_of(
    daemon: DaemonSettings, listed: Iterable[HostEntry], per_domain: int
) -> set[str]:
    """Return the hosts to dial: the own domain's, and a few of each other.

    Rendezvous hashing spreads the few evenly, and a host that comes or goes
    moves only the links it has to.
    """
    hosts_by_domain: defaultdict[str, list[str]] = defaultdict(list)
    for entry in listed:
        if entry.host != daemon.host:
            hosts_by_domain[entry.failure_domain].append(entry.host)
    chosen = set(hosts_by_domain.pop(daemon.failure_domain, ()))
    for hosts in hosts_by_domain.values():
        ranked = sorted(hosts, key=partial(_score, daemon.host))
        chosen.update(ranked[:per_domain])
    return chosen


def backoff_s(failures: int) -> float:
    """Return a random wait in seconds that grows with the failures.

    The full jitter keeps daemons that lost each other at once from dialling
    each other at once.
    """
    longest_s = min(
        LONGEST_BACKOFF_S, SHORTEST_BACKOFF_S * 2 ** min(failures, 8)
    )
    return random.uniform(SHORTEST_BACKOFF_S / 2, longest_s)


def _score(dialer: str, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{dialer}\0{host}'.encode())
