"""Poll the replicas in use, and look again at those that failed."""

import queue
import threading

import urllib3
from result import Err

from marigoldhoist.components.upstreams.const import (
    MAX_POOLS,
    POLL_INTERVAL_S,
    WANTED_S,
)
from marigoldhoist.components.upstreams.ejection import Ejections
from marigoldhoist.components.upstreams.events import (
    CONNECTION_SILENT,
    REPLICA_EJECTED,
    REPLICA_LEAVING,
    REPLICA_READMITTED,
)
from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.components.upstreams.probes import (
    answers_afresh,
    poll_interval_s,
    read_load,
)
from marigoldhoist.components.upstreams.registry import ReplicaRegistry
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import emit


class ReplicaWatch:
    """Runs the polls and the probes on threads of their own."""

    def __init__(
        self,
        registry: ReplicaRegistry,
        ejections: Ejections,
        stopping: threading.Event,
    ) -> None:
        self._registry = registry
        self._ejections = ejections
        self._stopping = stopping
        self._pool = urllib3.PoolManager(num_pools=MAX_POOLS, retries=False)
        self._suspects: queue.SimpleQueue[Replica] = queue.SimpleQueue()
        self._suspected: set[str] = set()

    def suspect(self, replica: Replica) -> None:
        """Have a replica tried on a fresh connection."""
        if replica.host not in self._suspected:
            self._suspected.add(replica.host)
            self._suspects.put(replica)

    def eject(self, replica: Replica) -> None:
        """Take a replica out at once; a fresh connection failed."""
        now_s = SYSTEM_CLOCK.monotonic_s()
        if not self._ejections.is_ejected(replica.host, now_s):
            emit(REPLICA_EJECTED, replica=replica.host)
        self._ejections.eject(replica.host, now_s)

    def note_leaving(self, replica: Replica) -> None:
        """Give a replica no new work; it said that it is leaving."""
        now_s = SYSTEM_CLOCK.monotonic_s()
        if not self._ejections.is_leaving(replica.host, now_s):
            emit(REPLICA_LEAVING, replica=replica.host)
        self._ejections.note_leaving(replica.host, now_s)

    def probe(self) -> None:
        """Try suspected replicas until the daemon stops."""
        while not self._stopping.is_set():
            try:
                replica = self._suspects.get(timeout=POLL_INTERVAL_S)
            except queue.Empty:
                continue
            self._try_afresh(replica)

    def poll(self) -> None:
        """Read the load of the replicas in use until the daemon stops."""
        pause_s = POLL_INTERVAL_S
        while not self._stopping.wait(pause_s):
            wanted = self._wanted()
            for replica in wanted:
                self._read(replica)
            pause_s = poll_interval_s(len(wanted))

    def _wanted(self) -> list[Replica]:
        now_s = SYSTEM_CLOCK.monotonic_s()
        return [
            replica
            for replica in self._registry.replica_by_host.values()
            if now_s < replica.last_considered_s + WANTED_S
        ]

    def _read(self, replica: Replica) -> None:
        now_s = SYSTEM_CLOCK.monotonic_s()
        was_ejected = self._ejections.is_ejected(replica.host, now_s)
        asked = read_load(self._pool, replica)
        if isinstance(asked, Err):
            self.suspect(replica)
            return
        if asked.ok_value.leaving:
            self.note_leaving(replica)
        if was_ejected:
            emit(REPLICA_READMITTED, replica=replica.host)
        self._ejections.readmit(replica.host)

    def _try_afresh(self, replica: Replica) -> None:
        if answers_afresh(replica):
            emit(CONNECTION_SILENT, replica=replica.host)
        else:
            self.eject(replica)
        self._suspected.discard(replica.host)
