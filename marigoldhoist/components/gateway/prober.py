"""Find out when unreachable replicas can be reached again."""

import asyncio

from marigoldhoist.components.directory.events import REPLICA_REACHABLE
from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.gateway.const import PROBE_INTERVAL_S
from marigoldhoist.components.gateway.errors import AttemptError
from marigoldhoist.components.gateway.pool import ReplicaPool, open_connection
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import emit


class ReplicaProber:
    """Connects to unreachable replicas now and then, in place of calls.

    A connection that succeeds is kept for the next call.
    """

    def __init__(self, directory: DirectoryService, pool: ReplicaPool) -> None:
        self._directory = directory
        self._pool = pool
        self._probes: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probe all unreachable replicas, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if not self._probes:
                self._start_probes()

    def stop(self) -> None:
        """Cancel the probes."""
        for probe in self._probes:
            probe.cancel()

    def _start_probes(self) -> None:
        for replica in self._directory.replica_by_host.values():
            if replica.is_unreachable:
                probe = asyncio.create_task(self._probe(replica))
                self._probes.add(probe)
                probe.add_done_callback(self._probes.discard)

    async def _probe(self, replica: Replica) -> None:
        try:
            connection = await open_connection(replica)
        except AttemptError as error:
            self._directory.suspect(replica, error.reason)
            return
        replica.note_reachable()
        emit(
            REPLICA_REACHABLE,
            replica=replica.host,
            service=replica.entry.service,
            known_for_s=replica.known_for_s(SYSTEM_CLOCK.boottime_s()),
        )
        self._pool.release(replica, connection)
