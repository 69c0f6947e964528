"""Service that tracks linked peers and exchanges messages with them."""

from collections.abc import Iterable

from grpclib.server import Server
from result import Err, Ok, Result

from marigoldhoist.components.hosts.const import COMPONENT as HOSTS
from marigoldhoist.components.hosts.models import (
    HostState,
)
from marigoldhoist.components.hosts.service import HostService
from marigoldhoist.components.peers.const import (
    LEAVING_INTERVAL_S,
    LEAVING_TOPIC,
)
from marigoldhoist.components.peers.dialer import Dialer
from marigoldhoist.components.peers.errors import CallFailure, LinkError
from marigoldhoist.components.peers.events import (
    PEER_LEAVING,
)
from marigoldhoist.components.peers.listener import Listener
from marigoldhoist.components.peers.loop import LoopThread
from marigoldhoist.components.peers.models import Peer, PeerStatus
from marigoldhoist.components.peers.settings import PeerSettings
from marigoldhoist.components.peers.topics import Handler, TopicHandlers
from marigoldhoist.core.events import emit
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel

STOP_TIMEOUT_S = 3.0


class PeerService(BaseService):
    """Links to the daemons of the host list and exchanges topic messages."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._daemon = kernel.settings.section(DaemonSettings)
        self._settings = kernel.settings.section(PeerSettings)
        self._hosts = kernel.find(HOSTS, HostService)
        self._key = self._settings.read_key()
        self._topics = TopicHandlers()
        self._loop = LoopThread('peers')
        self._dialer = Dialer(
            self._daemon, self._settings, self._hosts, self._key
        )
        self._leaving_hosts: set[str] = set()

    def start(self) -> None:
        """Start the event loop and listen for peers."""
        self.subscribe(LEAVING_TOPIC, self._on_leaving)
        self._loop.start()
        self._loop.submit(self._listen()).result(STOP_TIMEOUT_S)

    def ready(self) -> None:
        """Start dialing, once all components have subscribed to topics."""
        self._loop.submit(self._dialer.run())
        self._kernel.spawn('peers-farewell', self._announce_leaving)

    def stop(self) -> None:
        """Close every link."""
        self._loop.stop(STOP_TIMEOUT_S)

    def status(self) -> PeerStatus:
        """Return the link status shown to operators."""
        linked = tuple(peer.host for peer in self.linked_peers())
        accepting = {peer.host for peer in self.accepting_peers()}
        return PeerStatus(
            linked, tuple(host for host in linked if host not in accepting)
        )

    def subscribe(self, topic: str, handler: Handler) -> None:
        """Register the handler of a topic.

        It runs on the event loop and must not block.
        """
        self._topics.subscribe(topic, handler)

    def linked_peers(self) -> tuple[Peer, ...]:
        """Return the listed peers that have an open link."""
        hosts_by_name = self._hosts.hosts_by_name
        return tuple(
            Peer(host, hosts_by_name[host].failure_domain, link.link_id)
            for host, link in sorted(
                self._dialer.link_by_host.items(), key=lambda pair: pair[0]
            )
            if host in hosts_by_name
        )

    def accepting_peers(self) -> tuple[Peer, ...]:
        """Return the linked peers that are not leaving.

        A peer counts as leaving if it announced so itself or the host list
        does not show it as live.
        """
        return tuple(
            peer
            for peer in self.linked_peers()
            if peer.host not in self._leaving_hosts
            and self._is_listed_live(peer.host)
        )

    def publish(
        self, topic: str, payload: bytes, hosts: Iterable[str] | None = None
    ) -> None:
        """Send to the given peers, or to all linked peers.

        The message is dropped for peers without a link or with a full outbox.
        """
        recipients = None if hosts is None else tuple(hosts)
        self._loop.loop.call_soon_threadsafe(
            self._publish_now, topic, payload, recipients
        )

    def call(
        self, host: str, topic: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, CallFailure]:
        """Send to one peer and wait up to timeout_s seconds for its reply."""
        link = self._dialer.link_by_host.get(host)
        if link is None:
            return Err(CallFailure(f'no link to {host}'))
        reply = self._loop.submit(link.call(topic, payload))
        try:
            return Ok(reply.result(timeout_s))
        except (TimeoutError, LinkError) as error:
            reply.cancel()
            return Err(CallFailure(str(error) or 'no reply in time'))

    def _publish_now(
        self, topic: str, payload: bytes, hosts: tuple[str, ...] | None
    ) -> None:
        recipients = (
            tuple(self._dialer.link_by_host) if hosts is None else hosts
        )
        for host in recipients:
            link = self._dialer.link_by_host.get(host)
            if link is not None:
                link.send(topic, payload)

    async def _listen(self) -> None:
        listener = Listener(
            self._daemon, self._key, self._topics, self._leaving_hosts.discard
        )
        server = Server([listener])
        await server.start(self._daemon.address, self._settings.port)

    def _is_listed_live(self, host: str) -> bool:
        entry = self._hosts.hosts_by_name.get(host)
        return entry is not None and entry.state is HostState.LIVE

    def _on_leaving(self, sender: str, _payload: bytes) -> None:
        if sender not in self._leaving_hosts:
            emit(PEER_LEAVING, peer=sender)
        self._leaving_hosts.add(sender)

    def _announce_leaving(self) -> None:
        self._kernel.draining.wait()
        while not self._kernel.stopping.is_set():
            self.publish(LEAVING_TOPIC, b'')
            self._kernel.stopping.wait(LEAVING_INTERVAL_S)
