"""Announce positions to peers and fetch from those that are ahead."""

import queue
from functools import partial

import msgspec
from result import Ok

from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.components.relay.const import (
    ANNOUNCE_INTERVAL_S,
    FETCH_LIMIT_ENTRIES,
    FETCH_TIMEOUT_S,
    FETCH_TOPIC,
    POSITIONS_TOPIC,
)
from marigoldhoist.components.relay.models import Fetch, Fetched, Positions
from marigoldhoist.components.snapshots.const import COMPONENT as SNAPSHOTS
from marigoldhoist.components.snapshots.service import SnapshotService
from marigoldhoist.core.kernel import BaseService, Kernel


class RelayService(BaseService):
    """Keeps the feeds level with the furthest peer."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._log = kernel.find(LOG, LogService)
        self._peers = kernel.find(PEERS, PeerService)
        self._snapshots = kernel.find(SNAPSHOTS, SnapshotService)
        self._ahead: queue.SimpleQueue[tuple[str, str]] = queue.SimpleQueue()

    def start(self) -> None:
        """Answer peers and begin to announce."""
        self._peers.subscribe(POSITIONS_TOPIC, self._on_positions)
        self._peers.subscribe(FETCH_TOPIC, self._on_fetch)
        self._kernel.spawn('relay-announce', self._announce)
        self._kernel.spawn('relay-fetch', self._fetch_all)

    def catch_up(self, stream: str) -> bool:
        """Fetch from a peer until it has no more; False if none answers."""
        feed = self._log.feeds_by_stream[stream]
        return any(
            feed.drain(partial(self._fetch, peer.host, stream))
            for peer in self._peers.linked_peers()
        )

    def _announce(self) -> None:
        while not self._kernel.stopping.wait(ANNOUNCE_INTERVAL_S):
            positions = Positions(
                {
                    stream: feed.next_offset
                    for stream, feed in self._log.feeds_by_stream.items()
                }
            )
            payload = msgspec.msgpack.encode(positions)
            self._peers.publish(POSITIONS_TOPIC, payload)

    def _on_positions(self, sender: str, payload: bytes) -> None:
        positions = msgspec.msgpack.decode(payload, type=Positions)
        for stream, offset in positions.next_offset_by_stream.items():
            feed = self._log.feeds_by_stream.get(stream)
            if feed is not None and offset > feed.next_offset:
                self._ahead.put((sender, stream))

    def _on_fetch(self, _sender: str, payload: bytes) -> bytes:
        wanted = msgspec.msgpack.decode(payload, type=Fetch)
        feed = self._log.feeds_by_stream.get(wanted.stream)
        if feed is None:
            return msgspec.json.encode(Fetched(()))
        entries = feed.entries_from(
            wanted.offset, FETCH_LIMIT_ENTRIES, wanted.last_id
        )
        is_too_old = feed.is_too_old(wanted.offset)
        return msgspec.json.encode(Fetched(entries, is_too_old))

    def _fetch_all(self) -> None:
        while not self._kernel.stopping.is_set():
            try:
                peer, stream = self._ahead.get(timeout=ANNOUNCE_INTERVAL_S)
            except queue.Empty:
                continue
            self._fetch(peer, stream)

    def _fetch(self, peer: str, stream: str) -> bool:
        feed = self._log.feeds_by_stream[stream]
        wanted = msgspec.msgpack.encode(
            Fetch(stream, feed.next_offset, feed.last_id)
        )
        reply = self._peers.call(peer, FETCH_TOPIC, wanted, FETCH_TIMEOUT_S)
        if not isinstance(reply, Ok) or not reply.ok_value:
            return False
        fetched = msgspec.json.decode(reply.ok_value, type=Fetched)
        if fetched.is_too_old and not feed.is_diverged:
            self._snapshots.fetch_from(peer, stream)
        feed.offer(fetched.entries)
        return True
