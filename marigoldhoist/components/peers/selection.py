"""Selection of peers to dial, and backoff between attempts."""

import random
from collections import defaultdict
from collections.abc import Iterable
from functools import partial

import xxhash

from marigoldhoist.components.hosts.models import HostEntry
from marigoldhoist.components.peers.const import (
    MAX_BACKOFF_S,
    MIN_BACKOFF_S,
)
from marigoldhoist.core.identity import DaemonSettings


def select_peers(
    daemon: DaemonSettings, host_entries: Iterable[HostEntry], per_domain: int
) -> set[str]:
    """Return the hosts to dial.

    These are all other hosts of the own failure domain and `per_domain`
    hosts of every other domain. Rendezvous hashing spreads the links to
    other domains evenly, and adding or removing a host changes no more
    links than necessary.
    """
    hosts_by_domain: defaultdict[str, list[str]] = defaultdict(list)
    for entry in host_entries:
        if entry.host != daemon.host:
            hosts_by_domain[entry.failure_domain].append(entry.host)
    selected = set(hosts_by_domain.pop(daemon.failure_domain, ()))
    for hosts in hosts_by_domain.values():
        ranked = sorted(hosts, key=partial(_score, daemon.host))
        selected.update(ranked[:per_domain])
    return selected


def backoff_s(failures: int) -> float:
    """Return a random backoff in seconds that grows with the failures.

    Full jitter keeps daemons that lost their links at the same time from
    redialing each other at the same time.
    """
    longest_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failures, 8))
    return random.uniform(MIN_BACKOFF_S / 2, longest_s)


def _score(dialer: str, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{dialer}\0{host}'.encode())
