"""The snapshot service: writes snapshots and exchanges them with peers."""

import msgspec
from result import Ok

from marigoldhoist.components.leases.const import COMPONENT as LEASES
from marigoldhoist.components.leases.service import LeaseService
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.components.snapshots.chunks import (
    compress_dump,
    decompress_dump,
)
from marigoldhoist.components.snapshots.const import (
    CHECK_INTERVAL_S,
    FETCH_TIMEOUT_S,
    FETCH_TOPIC,
    LEASE_TTL_S,
)
from marigoldhoist.components.snapshots.events import SNAPSHOT_RESTORED
from marigoldhoist.components.snapshots.models import (
    FetchRequest,
    SnapshotStatus,
)
from marigoldhoist.components.snapshots.recovery import StreamRecovery
from marigoldhoist.components.snapshots.settings import SnapshotSettings
from marigoldhoist.components.snapshots.writer import SnapshotWriter
from marigoldhoist.core.decoding import decode_msgpack
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel


class SnapshotService(BaseService):
    """Maintains a recent snapshot of each followed stream on the log."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._log = kernel.find(LOG, LogService)
        self._leases = kernel.find(LEASES, LeaseService)
        self._peers = kernel.find(PEERS, PeerService)
        self._settings = kernel.settings.section(SnapshotSettings)
        self._cached_dump_by_stream: dict[str, tuple[int, bytes]] = {}
        self.recovery_by_stream = {
            stream: StreamRecovery(feed, self._log.client)
            for stream, feed in self._log.feeds_by_stream.items()
        }
        for stream, recovery in self.recovery_by_stream.items():
            self._log.followers_by_stream[stream].recovery = recovery

    def start(self) -> None:
        """Subscribe to snapshot requests of peers."""
        self._peers.subscribe(FETCH_TOPIC, self._on_fetch)

    def ready(self) -> None:
        """Start the thread that writes snapshots."""
        self._kernel.spawn('snapshots', self._write_snapshots)

    def status(self) -> SnapshotStatus:
        """Return the base offset of the newest snapshot of each stream."""
        return SnapshotStatus(
            {
                stream: recovery.newest.base_offset
                for stream, recovery in self.recovery_by_stream.items()
                if recovery.newest is not None
            }
        )

    def fetch_from(self, peer: str, stream: str) -> bool:
        """Restore a stream's state from a peer.

        Returns False if the peer does not answer or is not ahead.
        """
        request = msgspec.msgpack.encode(FetchRequest(stream))
        reply = self._peers.call(peer, FETCH_TOPIC, request, FETCH_TIMEOUT_S)
        if not isinstance(reply, Ok) or not reply.ok_value:
            return False
        dump = decompress_dump(reply.ok_value)
        is_restored = self._log.feeds_by_stream[stream].restore(dump)
        if is_restored:
            emit(
                SNAPSHOT_RESTORED, stream=stream, offset=dump.offset, peer=peer
            )
        return is_restored

    def _on_fetch(self, _sender: str, payload: bytes) -> bytes:
        request = decode_msgpack(payload, FetchRequest)
        feed = self._log.feeds_by_stream.get(request.stream)
        return self._compressed_dump(feed) if feed else b''

    def _compressed_dump(self, feed: Feed) -> bytes:
        """Return a feed's compressed state, cached for its current offset."""
        offset, content = self._cached_dump_by_stream.get(
            feed.stream, (-1, b'')
        )
        if offset != feed.next_offset:
            dump = feed.dump()
            content = compress_dump(dump)
            self._cached_dump_by_stream[feed.stream] = (dump.offset, content)
        return content

    def _write_snapshots(self) -> None:
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
