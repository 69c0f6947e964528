"""The peer service: who is linked, and messages to them."""

import asyncio
import dataclasses
from collections.abc import Iterable

from grpclib.server import Server
from result import Err, Ok, Result

from marigoldhoist.components.hosts.const import COMPONENT as HOSTS
from marigoldhoist.components.hosts.models import HostEntry, HostRole
from marigoldhoist.components.hosts.service import HostService
from marigoldhoist.components.peers.const import (
    DIAL_PAUSE_S,
    SCAN_INTERVAL_S,
)
from marigoldhoist.components.peers.errors import CallFailure, LinkError
from marigoldhoist.components.peers.events import PEER_DOWN, PEER_UP
from marigoldhoist.components.peers.link import Link
from marigoldhoist.components.peers.listener import Listener
from marigoldhoist.components.peers.loop import LoopThread
from marigoldhoist.components.peers.models import PeerStatus
from marigoldhoist.components.peers.settings import PeerSettings
from marigoldhoist.components.peers.topics import Handler, Topics
from marigoldhoist.core.events import emit
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel

STOP_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A daemon with an open link."""

    host: str
    failure_domain: str


class PeerService(BaseService):
    """Dials the daemons of the host list and carries topics between them."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._daemon = kernel.settings.section(DaemonSettings)
        self._settings = kernel.settings.section(PeerSettings)
        self._hosts = kernel.find(HOSTS, HostService)
        self._key = self._settings.read_key()
        self._topics = Topics()
        self._loop = LoopThread('peers')
        self._link_by_host: dict[str, Link] = {}
        self._dial_by_host: dict[str, asyncio.Task[None]] = {}

    def start(self) -> None:
        """Listen for peers and begin to dial them."""
        self._loop.start()
        self._loop.submit(self._listen()).result(STOP_TIMEOUT_S)

    def ready(self) -> None:
        """Dial peers, now that every topic has its handler."""
        self._loop.submit(self._scan())

    def stop(self) -> None:
        """Close every link."""
        self._loop.stop(STOP_TIMEOUT_S)

    def status(self) -> PeerStatus:
        """Return what operators see of the links."""
        return PeerStatus(tuple(peer.host for peer in self.live()))

    def subscribe(self, topic: str, handler: Handler) -> None:
        """Handle messages of a topic; the handler must not block."""
        self._topics.subscribe(topic, handler)

    def live(self) -> tuple[Peer, ...]:
        """Return the peers that have an open link."""
        hosts_by_name = self._hosts.hosts_by_name
        return tuple(
            Peer(host, hosts_by_name[host].failure_domain)
            for host in sorted(self._link_by_host)
            if host in hosts_by_name
        )

    def publish(
        self, topic: str, payload: bytes, hosts: Iterable[str] | None = None
    ) -> None:
        """Send to the named peers, or to all; a full outbox loses it."""
        chosen = None if hosts is None else tuple(hosts)
        self._loop.loop.call_soon_threadsafe(
            self._publish_now, topic, payload, chosen
        )

    def call(
        self, host: str, topic: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, CallFailure]:
        """Send to one peer and wait for its reply."""
        link = self._link_by_host.get(host)
        if link is None:
            return Err(CallFailure(f'no link to {host}'))
        waiting = self._loop.submit(link.call(topic, payload))
        try:
            return Ok(waiting.result(timeout_s))
        except (TimeoutError, LinkError) as error:
            waiting.cancel()
            return Err(CallFailure(str(error) or 'no reply in time'))

    def _publish_now(
        self, topic: str, payload: bytes, hosts: tuple[str, ...] | None
    ) -> None:
        chosen = tuple(self._link_by_host) if hosts is None else hosts
        for host in chosen:
            link = self._link_by_host.get(host)
            if link is not None:
                link.send(topic, payload)

    async def _listen(self) -> None:
        listener = Listener(self._daemon, self._key, self._topics)
        server = Server([listener])
        await server.start(self._daemon.address, self._settings.port)

    async def _scan(self) -> None:
        while True:
            for entry in self._hosts.with_role(HostRole.DAEMON):
                if entry.host == self._daemon.host:
                    continue
                if entry.host not in self._dial_by_host:
                    self._dial_by_host[entry.host] = asyncio.create_task(
                        self._keep_link(entry.host)
                    )
            await asyncio.sleep(SCAN_INTERVAL_S)

    async def _keep_link(self, host: str) -> None:
        while True:
            entry = self._hosts.hosts_by_name.get(host)
            if entry is None:
                self._dial_by_host.pop(host, None)
                return
            await self._hold_link(entry)
            await asyncio.sleep(DIAL_PAUSE_S)

    async def _hold_link(self, entry: HostEntry) -> None:
        link = Link(self._daemon, self._key)
        try:
            async for peer in link.open(entry.address, entry.port):
                self._link_by_host[peer] = link
                emit(PEER_UP, peer=peer)
        except (LinkError, TimeoutError) as error:
            if self._link_by_host.pop(entry.host, None) is not None:
                emit(PEER_DOWN, peer=entry.host, error=str(error))
