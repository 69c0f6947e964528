"""Remember removed replicas, as their entries may come back."""

from typing import Final

from marigoldhoist.components.directory.models import (
    Replica,
    ReplicaEntry,
    ReplicaStart,
)

MAX_REMEMBERED_STARTS: Final = 1024


class RemovedReplicas:
    """The replicas removed last, by start; the oldest is dropped first.

    What a replica announced holds until it is started anew, whatever becomes of
    its entry, so the entry that comes back gets the replica that had it. A
    store that was restored from an older copy does not list them again.
    """

    def __init__(self) -> None:
        self._replica_by_start: dict[ReplicaStart, Replica] = {}

    def __contains__(self, entry: ReplicaEntry) -> bool:
        """Return whether the start that wrote the entry was removed."""
        return entry.start in self._replica_by_start

    def add(self, replica: Replica) -> None:
        """Remember a replica that was removed."""
        replica.is_gone = True
        self._replica_by_start.pop(replica.entry.start, None)
        self._replica_by_start[replica.entry.start] = replica
        if len(self._replica_by_start) > MAX_REMEMBERED_STARTS:
            self._replica_by_start.pop(next(iter(self._replica_by_start)))

    def revive(self, entry: ReplicaEntry) -> Replica | None:
        """Return the replica whose entry came back, None if it is unknown."""
        replica = self._replica_by_start.get(entry.start)
        if replica is None or not replica.entry.is_same_start(entry):
            return None
        self._replica_by_start.pop(entry.start)
        replica.is_gone = False
        replica.renew(entry)
        return replica
