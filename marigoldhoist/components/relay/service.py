"""Announce log positions to peers and fetch entries from peers ahead."""

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
    FETCH_TIMEOUT_S,
    FETCH_TOPIC,
    MAX_FETCH_ENTRIES,
    POSITIONS_TOPIC,
)
from marigoldhoist.components.relay.models import (
    FetchReply,
    FetchRequest,
    Positions,
)
from marigoldhoist.components.snapshots.const import COMPONENT as SNAPSHOTS
from marigoldhoist.components.snapshots.service import SnapshotService
from marigoldhoist.core.decoding import decode_json, decode_msgpack
from marigoldhoist.core.kernel import BaseService, Kernel


class RelayService(BaseService):
    """Keeps feeds up to date with the peer that has read furthest."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._log = kernel.find(LOG, LogService)
        self._peers = kernel.find(PEERS, PeerService)
        self._snapshots = kernel.find(SNAPSHOTS, SnapshotService)
        self._pending_fetches: queue.SimpleQueue[tuple[str, str]] = (
            queue.SimpleQueue()
        )

    def start(self) -> None:
        """Subscribe to relay topics and start the worker threads."""
        self._peers.subscribe(POSITIONS_TOPIC, self._on_positions)
        self._peers.subscribe(FETCH_TOPIC, self._on_fetch)
        self._kernel.spawn('relay-announce', self._announce_positions)
        self._kernel.spawn('relay-fetch', self._run_fetches)

    def catch_up(self, stream: str) -> bool:
        """Fetch a stream from peers until one has no newer entries.

        Peers are tried in turn until all fetches from one of them succeed.
        Returns False if there is no such peer.
        """
        feed = self._log.feeds_by_stream[stream]
        return any(
            feed.drain(partial(self._fetch, peer.host, stream))
            for peer in self._peers.linked_peers()
        )

    def _announce_positions(self) -> None:
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
        positions = decode_msgpack(payload, Positions)
        for stream, offset in positions.next_offset_by_stream.items():
            feed = self._log.feeds_by_stream.get(stream)
            if feed is not None and offset > feed.next_offset:
                self._pending_fetches.put((sender, stream))

    def _on_fetch(self, _sender: str, payload: bytes) -> bytes:
        request = decode_msgpack(payload, FetchRequest)
        feed = self._log.feeds_by_stream.get(request.stream)
        if feed is None:
            return msgspec.json.encode(FetchReply(()))
        entries = feed.entries_from(
            request.offset, MAX_FETCH_ENTRIES, request.last_id
        )
        is_too_old = feed.is_too_old(request.offset)
        return msgspec.json.encode(FetchReply(entries, is_too_old))

    def _run_fetches(self) -> None:
        while not self._kernel.stopping.is_set():
            try:
                peer, stream = self._pending_fetches.get(
                    timeout=ANNOUNCE_INTERVAL_S
                )
            except queue.Empty:
                continue
            self._fetch(peer, stream)

    def _fetch(self, peer: str, stream: str) -> bool:
        feed = self._log.feeds_by_stream[stream]
        payload = msgspec.msgpack.encode(
            FetchRequest(stream, feed.next_offset, feed.last_id)
        )
        reply = self._peers.call(peer, FETCH_TOPIC, payload, FETCH_TIMEOUT_S)
        if not isinstance(reply, Ok) or not reply.ok_value:
            return False
        fetched = decode_json(reply.ok_value, FetchReply)
        if fetched.is_too_old and not feed.is_diverged:
            self._snapshots.fetch_from(peer, stream)
        feed.offer(fetched.entries)
        return True
