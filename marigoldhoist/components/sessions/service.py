"""Service that keeps each session on one model version."""

import msgspec
from result import Ok

from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.handover import RecordHandover
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.peers.settings import PeerSettings
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.platform_log.const import WORK_STREAM
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.components.platform_log.work_writer import WorkWriter
from marigoldhoist.components.routing.const import COMPONENT as ROUTING
from marigoldhoist.components.routing.service import RoutingService
from marigoldhoist.components.sessions.chooser import SessionChooser
from marigoldhoist.components.sessions.const import (
    COMPONENT,
    FIND_TIMEOUT_S,
    FIND_TOPIC,
    HAND_OVER_TOPIC,
    MAX_QUERIED_PEERS,
    PINS_TOPIC,
)
from marigoldhoist.components.sessions.models import (
    Pin,
    SessionKey,
    SessionStatus,
)
from marigoldhoist.components.sessions.pins import PinStore, encode_pin
from marigoldhoist.components.sessions.settings import SessionSettings
from marigoldhoist.components.sessions.tokens import SessionTokens
from marigoldhoist.core.decoding import decode_msgpack
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel


class PeerGossip:
    """Exchange pins with other daemons over the peer links."""

    def __init__(self, peers: PeerService, failure_domain: str) -> None:
        self._peers = peers
        self._domain = failure_domain

    def publish(self, pin: Pin) -> None:
        """Send a pin to all linked peers."""
        self._peers.publish(PINS_TOPIC, encode_pin(pin))

    def query(self, key: SessionKey) -> tuple[Pin, ...]:
        """Return the session's pins that a few peers have.

        Peers in this daemon's failure domain are queried first.
        """
        payload = msgspec.msgpack.encode(key)
        nearest_first = sorted(
            self._peers.linked_peers(),
            key=lambda peer: peer.failure_domain != self._domain,
        )
        replies = (
            self._peers.call(peer.host, FIND_TOPIC, payload, FIND_TIMEOUT_S)
            for peer in nearest_first[:MAX_QUERIED_PEERS]
        )
        return tuple(
            decode_msgpack(reply.ok_value, Pin)
            for reply in replies
            if isinstance(reply, Ok) and reply.ok_value
        )


class SessionService(BaseService):
    """Pin sessions to versions, using the log and the peers."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        daemon = kernel.settings.section(DaemonSettings)
        settings = kernel.settings.section(SessionSettings)
        log = kernel.find(LOG, LogService)
        self._peers = kernel.find(PEERS, PeerService)
        feed = log.feeds_by_stream[WORK_STREAM]
        self._writer = WorkWriter(kernel, log, WORK_STREAM)
        self._handover = RecordHandover(kernel, HAND_OVER_TOPIC, self._peers)
        gossip = PeerGossip(self._peers, daemon.failure_domain)
        self.pins = PinStore(settings, feed, self._writer, gossip)
        feed.add_fold(self.pins.apply)
        feed.add_part(COMPONENT, self.pins.fold.dump, self.pins.fold.restore)
        key = kernel.settings.section(PeerSettings).read_key()
        routing = kernel.find(ROUTING, RoutingService)
        chooser = SessionChooser(
            daemon.host,
            routing.rules,
            self.pins,
            SessionTokens(key, settings.ttl_ms),
        )
        routing.set_session_versions(chooser)

    def start(self) -> None:
        """Subscribe to the peers' messages and start the pin writer."""
        self._peers.subscribe(PINS_TOPIC, self._on_pin)
        self._peers.subscribe(FIND_TOPIC, self._on_find)
        self._handover.subscribe(self._writer)
        self._kernel.spawn('sessions', self._writer.run)

    def hand_over(self) -> None:
        """Append the remaining pins to the log, or pass them to a peer."""
        self._handover.hand_over(self._writer)

    def status(self) -> SessionStatus:
        """Return the pin counts that operators see."""
        return SessionStatus(len(self.pins.fold), self.pins.unlogged)

    def _on_pin(self, _sender: str, payload: bytes) -> None:
        self.pins.merge(decode_msgpack(payload, Pin))

    def _on_find(self, _sender: str, payload: bytes) -> bytes:
        key = decode_msgpack(payload, SessionKey)
        return encode_pin(self.pins.find(key))
