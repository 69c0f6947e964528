"""The snapshot service: write, find and hand on snapshots."""

import msgspec
from result import Ok

from marigoldhoist.components.leases.const import COMPONENT as LEASES
from marigoldhoist.components.leases.service import LeaseService
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.components.snapshots.chunks import packed, unpacked
from marigoldhoist.components.snapshots.const import (
    CHECK_INTERVAL_S,
    FETCH_TIMEOUT_S,
    FETCH_TOPIC,
    LEASE_TTL_S,
)
from marigoldhoist.components.snapshots.events import SNAPSHOT_RESTORED
from marigoldhoist.components.snapshots.models import Fetch, SnapshotStatus
from marigoldhoist.components.snapshots.recovery import StreamRecovery
from marigoldhoist.components.snapshots.settings import SnapshotSettings
from marigoldhoist.components.snapshots.writer import SnapshotWriter
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel


class SnapshotService(BaseService):
    """Keeps a snapshot of each followed stream on the log."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._log = kernel.find(LOG, LogService)
        self._leases = kernel.find(LEASES, LeaseService)
        self._peers = kernel.find(PEERS, PeerService)
        self._settings = kernel.settings.section(SnapshotSettings)
        self._packed_by_stream: dict[str, tuple[int, bytes]] = {}
        self.recovery_by_stream = {
            stream: StreamRecovery(feed, self._log.client)
            for stream, feed in self._log.feeds_by_stream.items()
        }
        for stream, recovery in self.recovery_by_stream.items():
            self._log.followers_by_stream[stream].recovery = recovery

    def start(self) -> None:
        """Answer peers that need a snapshot."""
        self._peers.subscribe(FETCH_TOPIC, self._on_fetch)

    def ready(self) -> None:
        """Begin to write snapshots."""
        self._kernel.spawn('snapshots', self._write_all)

    def status(self) -> SnapshotStatus:
        """Return what operators see of the snapshots."""
        return SnapshotStatus(
            {
                stream: recovery.seen.base_offset
                for stream, recovery in self.recovery_by_stream.items()
                if recovery.seen is not None
            }
        )

    def fetch_from(self, peer: str, stream: str) -> bool:
        """Take a stream's state from a peer; False if it is not ahead."""
        wanted = msgspec.msgpack.encode(Fetch(stream))
        reply = self._peers.call(peer, FETCH_TOPIC, wanted, FETCH_TIMEOUT_S)
        if not isinstance(reply, Ok) or not reply.ok_value:
            return False
        dump = unpacked(reply.ok_value)
        is_restored = self._log.feeds_by_stream[stream].restore(dump)
        if is_restored:
            emit(
                SNAPSHOT_RESTORED, stream=stream, offset=dump.offset, peer=peer
            )
        return is_restored

    def _on_fetch(self, _sender: str, payload: bytes) -> bytes:
        wanted = msgspec.msgpack.decode(payload, type=Fetch)
        feed = self._log.feeds_by_stream.get(wanted.stream)
        return self._packed(feed) if feed else b''

    def _packed(self, feed: Feed) -> bytes:
        """Pack a feed's state once for all the peers that ask."""
        offset, content = self._packed_by_stream.get(feed.stream, (-1, b''))
        if offset != feed.next_offset:
            dump = feed.dump()
            content = packed(dump)
            self._packed_by_stream[feed.stream] = (dump.offset, content)
        return content

    def _write_all(self) -> None:
        writers = [
            SnapshotWriter(
                self._log.feeds_by_stream[stream],
                recovery,
                self._log,
                self._settings,
            )
            for stream, recovery in self.recovery_by_stream.items()
        ]
        lease = self._leases.hold('snapshots', LEASE_TTL_S)
        while not self._kernel.stopping.wait(CHECK_INTERVAL_S):
            for writer in writers:
                writer.rejoin()
                if lease.is_held and writer.is_due:
                    writer.write()
