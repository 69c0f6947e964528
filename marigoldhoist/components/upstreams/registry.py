"""Replicas from the host list, by host and by served name."""

import collections
from collections.abc import Mapping

from marigoldhoist.components.hosts.models import (
    HostEntry,
    HostRole,
    HostState,
)
from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.core.clock import SYSTEM_CLOCK

UPSTREAM_ROLES = frozenset((HostRole.ENGINE, HostRole.SERVICE))


class ReplicaRegistry:
    """Keeps one Replica per upstream for as long as the host list has it."""

    def __init__(self) -> None:
        self.replica_by_host: dict[str, Replica] = {}
        self._replicas_by_name: dict[str, tuple[Replica, ...]] = {}
        self._hosts_by_name: Mapping[str, HostEntry] = {}

    def serving(
        self, hosts_by_name: Mapping[str, HostEntry], name: str
    ) -> tuple[Replica, ...]:
        """Return the replicas that serve a model version or service.

        Replicas that the host list marks as leaving are excluded.
        """
        self._update(hosts_by_name)
        return self._replicas_by_name.get(name, ())

    def _update(self, hosts_by_name: Mapping[str, HostEntry]) -> None:
        if hosts_by_name is self._hosts_by_name:
            return
        replica_by_host = {
            entry.host: self._replica(entry)
            for entry in hosts_by_name.values()
            if entry.role in UPSTREAM_ROLES
        }
        self._replicas_by_name = _by_name(replica_by_host)
        self.replica_by_host = replica_by_host
        self._hosts_by_name = hosts_by_name

    def _replica(self, entry: HostEntry) -> Replica:
        replica = self.replica_by_host.get(entry.host)
        if replica is None or not _has_same_address(replica, entry):
            replica = Replica(
                host=entry.host,
                address=entry.address,
                port=entry.port,
                failure_domain=entry.failure_domain,
                serves=entry.serves,
                first_seen_s=SYSTEM_CLOCK.monotonic_s(),
            )
        replica.serves = entry.serves
        replica.is_leaving = entry.state is HostState.LEAVING
        return replica


def _has_same_address(replica: Replica, entry: HostEntry) -> bool:
    return (replica.address, replica.port) == (entry.address, entry.port)


def _by_name(
    replica_by_host: Mapping[str, Replica],
) -> dict[str, tuple[Replica, ...]]:
    grouped: dict[str, list[Replica]] = collections.defaultdict(list)
    available = [
        candidate
        for candidate in replica_by_host.values()
        if not candidate.is_leaving
    ]
    for replica in available:
        for served in replica.serves:
            grouped[served].append(replica)
    return {name: tuple(replicas) for name, replicas in grouped.items()}
