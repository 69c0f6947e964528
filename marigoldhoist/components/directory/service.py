"""Maintain the set of known replicas from their entries in the store."""

from collections.abc import Callable, Iterable

from marigoldhoist.components.directory.const import (
    COMPONENT,
    LAPSE_GRACE_S,
    MAX_SUSPICION_S,
    SUSPICION_GROWTH,
)
from marigoldhoist.components.directory.events import (
    REPLICA_FOUND,
    REPLICA_GONE,
    REPLICA_LAPSED,
    REPLICA_LEAVING,
    REPLICA_REPLACED,
    REPLICA_SUSPECTED,
    RESTORED_ENTRY_PASSED_OVER,
)
from marigoldhoist.components.directory.models import Replica, ReplicaEntry
from marigoldhoist.components.directory.removed import RemovedReplicas
from marigoldhoist.core.clock import SYSTEM_CLOCK, SystemClock
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel


class DirectoryService(BaseService):
    """Holds the replicas by name and selects those that may get requests."""

    def __init__(self, clock: SystemClock = SYSTEM_CLOCK) -> None:
        self._clock = clock
        self._gone_callbacks: list[Callable[[Replica], None]] = []
        self._removed = RemovedReplicas()
        self.replica_by_host: dict[str, Replica] = {}

    def on_gone(self, callback: Callable[[Replica], None]) -> None:
        """Register a callback for replicas that are removed or restarted."""
        self._gone_callbacks.append(callback)

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may get new requests."""
        now_s = self._clock.boottime_s()
        return [
            replica
            for replica in self.replica_by_host.values()
            if replica.entry.service == service
            and replica.accepts_requests(now_s)
        ]

    def siblings(self, replica: Replica) -> list[Replica]:
        """Return the other replicas of a replica's service."""
        return [
            known
            for known in self.replica_by_host.values()
            if known.entry.service == replica.entry.service
            and known is not replica
        ]

    def versions(self, service: str) -> set[str]:
        """Return the versions with replicas that may get new requests."""
        return {replica.entry.version for replica in self.usable(service)}

    def put(self, entry: ReplicaEntry) -> None:
        """Add or update a replica from its newest entry."""
        known = self.replica_by_host.get(entry.host)
        if known is not None and known.entry.is_same_start(entry):
            self._renew(known, entry)
            return
        if known is not None:
            self._drop(known)
        replica = self._removed.revive(entry)
        if replica is None:
            replica = Replica(entry, self._clock.boottime_s(), entry.warm_up_s)
            _copy_room(self.siblings(replica), replica)
        self.replica_by_host[entry.host] = replica
        emit(
            REPLICA_LEAVING if entry.is_draining else REPLICA_FOUND,
            replica=entry.host,
            service=entry.service,
            version=entry.version,
            failure_domain=entry.failure_domain,
            in_flight=replica.in_flight,
            known_for_s=replica.known_for_s(self._clock.boottime_s()),
        )

    def put_restored(self, entry: ReplicaEntry) -> None:
        """Add or update a replica from an entry that may be an older copy.

        Ignores the entry if this daemon knows that the replica has drained,
        has gone, or was started anew since. A live replica renews its entry.
        """
        known = self.replica_by_host.get(entry.host)
        is_older = (
            entry in self._removed
            if known is None
            else _is_older(entry, known.entry)
        )
        if not is_older:
            self.put(entry)
            return
        emit(
            RESTORED_ENTRY_PASSED_OVER,
            replica=entry.host,
            started_ms=entry.started_ms,
            known_started_ms=known.entry.started_ms if known else None,
            is_draining=bool(known and known.entry.is_draining),
        )

    def remove(self, host: str, store_healthy_for_s: float) -> None:
        """Remove a replica whose entry is no longer in the store.

        `store_healthy_for_s` is the time since the store became reachable. If
        it is shorter than the grace period, the entry may have expired because
        of the outage, and the replica stays in use for the rest of the period.
        A draining replica is removed at once.
        """
        known = self.replica_by_host.get(host)
        if known is None:
            return
        grace_s = LAPSE_GRACE_S - store_healthy_for_s
        if grace_s > 0 and not known.entry.is_draining:
            self._lapse(known, grace_s)
            return
        self._drop(known)
        self._note_gone(known, 'its entry was removed')

    def keep_only(
        self, hosts: Iterable[str], store_healthy_for_s: float
    ) -> None:
        """Remove every replica that is not among the hosts."""
        for host in set(self.replica_by_host).difference(hosts):
            self.remove(host, store_healthy_for_s)

    def drop_lapsed(self) -> None:
        """Remove replicas whose expired entries were not renewed in time."""
        now_s = self._clock.boottime_s()
        for replica in tuple(self.replica_by_host.values()):
            if now_s >= replica.usable_until_s:
                self._drop(replica)
                self._note_gone(replica, 'its entry did not come back')

    def suspect(self, replica: Replica, reason: str) -> None:
        """Record a failed connection and avoid the replica for a while.

        The time avoided grows with each suspicion until a request succeeds.
        """
        now_s = self._clock.boottime_s()
        replica.note_failure(now_s)
        replica.is_unreachable = True
        if now_s >= replica.suspected_until_s:
            emit(
                REPLICA_SUSPECTED,
                replica=replica.host,
                reason=reason,
                failures=round(replica.failures(now_s), 3),
                for_s=replica.suspicion_s,
            )
            replica.suspected_until_s = now_s + replica.suspicion_s
            replica.suspicion_s = min(
                MAX_SUSPICION_S, replica.suspicion_s * SUSPICION_GROWTH
            )

    def note_replaced(self, replica: Replica) -> None:
        """Remove a replica at whose address another replica answers."""
        if replica.is_gone:
            return
        self._drop(replica)
        emit(
            REPLICA_REPLACED,
            replica=replica.host,
            address=replica.entry.address,
            known_for_s=replica.known_for_s(self._clock.boottime_s()),
        )

    def _renew(self, known: Replica, entry: ReplicaEntry) -> None:
        if entry.is_draining and not known.entry.is_draining:
            emit(
                REPLICA_LEAVING,
                replica=entry.host,
                service=entry.service,
                in_flight=known.in_flight,
                known_for_s=known.known_for_s(self._clock.boottime_s()),
            )
        known.renew(entry)

    def _lapse(self, known: Replica, grace_s: float) -> None:
        until_s = self._clock.boottime_s() + grace_s
        known.usable_until_s = min(known.usable_until_s, until_s)
        emit(REPLICA_LAPSED, replica=known.host, usable_for_s=round(grace_s, 3))

    def _note_gone(self, replica: Replica, reason: str) -> None:
        emit(
            REPLICA_GONE,
            replica=replica.host,
            service=replica.entry.service,
            reason=reason,
            in_flight=replica.in_flight,
            known_for_s=replica.known_for_s(self._clock.boottime_s()),
        )

    def _drop(self, replica: Replica) -> None:
        self._removed.add(replica)
        self.replica_by_host.pop(replica.host, None)
        for callback in self._gone_callbacks:
            callback(replica)


def find_directory(kernel: Kernel) -> DirectoryService:
    """Return the directory service of a kernel."""
    return kernel.find(COMPONENT, DirectoryService)


def _copy_room(siblings: Iterable[Replica], replica: Replica) -> None:
    """Take a new replica for brittle if those that it replaces are."""
    for sibling in siblings:
        if sibling.room is not None:
            replica.room = sibling.room.copy()


def _is_older(entry: ReplicaEntry, known: ReplicaEntry) -> bool:
    """Return whether an entry was written before the known one."""
    if entry.started_ms != known.started_ms:
        return entry.started_ms < known.started_ms
    return known.is_draining and not entry.is_draining
