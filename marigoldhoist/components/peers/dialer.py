"""Dial selected peers and maintain the links to them."""

import asyncio

from marigoldhoist.components.hosts.models import HostEntry, HostRole
from marigoldhoist.components.hosts.service import HostService
from marigoldhoist.components.peers.const import (
    HEARTBEAT_INTERVAL_S,
    HOST_SCAN_INTERVAL_S,
)
from marigoldhoist.components.peers.errors import LinkError
from marigoldhoist.components.peers.events import PEER_DOWN, PEER_UP
from marigoldhoist.components.peers.link import Link
from marigoldhoist.components.peers.selection import backoff_s, select_peers
from marigoldhoist.components.peers.settings import PeerSettings
from marigoldhoist.core.events import emit
from marigoldhoist.core.identity import DaemonSettings


class Dialer:
    """Maintains one link task per peer; runs on the peers event loop."""

    def __init__(
        self,
        daemon: DaemonSettings,
        settings: PeerSettings,
        hosts: HostService,
        key: bytes,
    ) -> None:
        self._daemon = daemon
        self._settings = settings
        self._hosts = hosts
        self._key = key
        self._dial_task_by_host: dict[str, asyncio.Task[None]] = {}
        self.link_by_host: dict[str, Link] = {}

    async def run(self) -> None:
        """Follow the host list: dial selected hosts, drop all others."""
        while True:
            selected = self._selected_hosts()
            for host in selected - self._dial_task_by_host.keys():
                self._dial_task_by_host[host] = asyncio.create_task(
                    self._maintain_link(host)
                )
            for surplus in self._dial_task_by_host.keys() - selected:
                self._dial_task_by_host.pop(surplus).cancel()
                self._remove_link(surplus, 'not wanted')
            await asyncio.sleep(HOST_SCAN_INTERVAL_S)

    def _selected_hosts(self) -> set[str]:
        daemons = self._hosts.with_role(HostRole.DAEMON)
        return select_peers(
            self._daemon, daemons, self._settings.links_per_foreign_domain
        )

    async def _maintain_link(self, host: str) -> None:
        failures = 0
        while True:
            lifetime_s = await self._run_link(host)
            # Redial a link that went silent before reporting the peer as down,
            # because a new connection to it may still work.
            if lifetime_s > HEARTBEAT_INTERVAL_S:
                failures = 0
                continue
            self._remove_link(host, 'cannot be linked')
            await asyncio.sleep(backoff_s(failures))
            failures += 1

    async def _run_link(self, host: str) -> float:
        entry: HostEntry | None = self._hosts.hosts_by_name.get(host)
        if entry is None:
            return 0
        link = Link(self._daemon, self._key)
        loop = asyncio.get_running_loop()
        opened_s = loop.time()
        try:
            async for peer in link.open(entry.address, entry.port):
                opened_s = loop.time()
                self._add_link(host, peer, link)
        except (LinkError, TimeoutError):
            if self.link_by_host.get(host) is not link:
                return 0
        return loop.time() - opened_s

    def _add_link(self, host: str, peer: str, link: Link) -> None:
        if peer != host:
            raise LinkError(f'{peer} answers at the address of {host}')
        if host not in self.link_by_host:
            emit(PEER_UP, peer=host)
        self.link_by_host[host] = link

    def _remove_link(self, host: str, reason: str) -> None:
        if self.link_by_host.pop(host, None) is not None:
            emit(PEER_DOWN, peer=host, error=reason)
