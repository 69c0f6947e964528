"""Poll the load of replicas in use and probe those that failed."""

import queue
import threading

from result import Err

from marigoldhoist.components.upstreams.const import (
    MAX_POOLS,
    POLL_AFTER_USE_S,
    POLL_INTERVAL_S,
)
from marigoldhoist.components.upstreams.ejection import EjectionTracker
from marigoldhoist.components.upstreams.events import (
    CONNECTION_SILENT,
    REPLICA_EJECTED,
    REPLICA_LEAVING,
    REPLICA_READMITTED,
)
from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.components.upstreams.probes import (
    answers_on_new_connection,
    poll_interval_s,
    read_load,
)
from marigoldhoist.components.upstreams.registry import ReplicaRegistry
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import emit
from marigoldhoist.core.http_client import new_pool


class ReplicaMonitor:
    """Runs load polls and health probes, each on its own thread."""

    def __init__(
        self,
        registry: ReplicaRegistry,
        ejections: EjectionTracker,
        stopping: threading.Event,
    ) -> None:
        self._registry = registry
        self._ejections = ejections
        self._stopping = stopping
        self._pool = new_pool(MAX_POOLS)
        self._probe_queue: queue.SimpleQueue[Replica] = queue.SimpleQueue()
        self._queued_hosts: set[str] = set()

    def schedule_probe(self, replica: Replica) -> None:
        """Queue a replica for a probe on a new connection."""
        if replica.host not in self._queued_hosts:
            self._queued_hosts.add(replica.host)
            self._probe_queue.put(replica)

    def eject(self, replica: Replica) -> None:
        """Eject a replica at once after a new connection to it failed."""
        now_s = SYSTEM_CLOCK.monotonic_s()
        if not self._ejections.is_ejected(replica.host, now_s):
            emit(REPLICA_EJECTED, replica=replica.host)
        self._ejections.eject(replica.host, now_s)

    def note_leaving(self, replica: Replica) -> None:
        """Send no new requests to a replica that announced it is leaving."""
        now_s = SYSTEM_CLOCK.monotonic_s()
        if not self._ejections.is_leaving(replica.host, now_s):
            emit(REPLICA_LEAVING, replica=replica.host)
        self._ejections.note_leaving(replica.host, now_s)

    def probe(self) -> None:
        """Probe suspected replicas until the daemon stops."""
        while not self._stopping.is_set():
            try:
                replica = self._probe_queue.get(timeout=POLL_INTERVAL_S)
            except queue.Empty:
                continue
            self._probe_replica(replica)

    def poll(self) -> None:
        """Poll the load of the replicas in use until the daemon stops."""
        pause_s = POLL_INTERVAL_S
        while not self._stopping.wait(pause_s):
            replicas = self._replicas_in_use()
            for replica in replicas:
                self._poll_replica(replica)
            pause_s = poll_interval_s(len(replicas))

    def _replicas_in_use(self) -> list[Replica]:
        now_s = SYSTEM_CLOCK.monotonic_s()
        return [
            replica
            for replica in self._registry.replica_by_host.values()
            if now_s < replica.last_considered_s + POLL_AFTER_USE_S
        ]

    def _poll_replica(self, replica: Replica) -> None:
        now_s = SYSTEM_CLOCK.monotonic_s()
        was_ejected = self._ejections.is_ejected(replica.host, now_s)
        polled = read_load(self._pool, replica)
        if isinstance(polled, Err):
            self.schedule_probe(replica)
            return
        if polled.ok_value.leaving:
            self.note_leaving(replica)
        if was_ejected:
            emit(REPLICA_READMITTED, replica=replica.host)
        self._ejections.readmit(replica.host)

    def _probe_replica(self, replica: Replica) -> None:
        if answers_on_new_connection(replica):
            emit(CONNECTION_SILENT, replica=replica.host)
        else:
            self.eject(replica)
        self._queued_hosts.discard(replica.host)
