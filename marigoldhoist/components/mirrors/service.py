"""Select the sources of a feed: the store, the domain's reader or other peers.

If every daemon polled the store, its load would grow with the fleet. Instead,
one daemon of each failure domain reads the store and the others read from it.
A daemon that the store refuses falls back to others that can still reach it.
"""

import asyncio
import random

import grpclib.server

from marigoldhoist.components.feeds.const import COMPONENT as FEEDS
from marigoldhoist.components.feeds.errors import StoreUnavailableError
from marigoldhoist.components.feeds.models import Source, Topic
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.components.mirrors.codec import MsgpackCodec
from marigoldhoist.components.mirrors.const import (
    COMPONENT,
    DEPUTIES_PER_DOMAIN,
    DISCOVERY_S,
    FALLBACK_PEERS,
    GOSSIP_INTERVAL_S,
    READERS_PER_DOMAIN,
    SHORT_INTERVAL_S,
)
from marigoldhoist.components.mirrors.events import READER_CHANGED
from marigoldhoist.components.mirrors.findings import FindingExchange
from marigoldhoist.components.mirrors.membership import Member, Membership
from marigoldhoist.components.mirrors.models import DaemonInfo
from marigoldhoist.components.mirrors.peers import (
    MirrorHandler,
    PeerClient,
    PeerSource,
)
from marigoldhoist.components.mirrors.pusher import FindingPusher
from marigoldhoist.components.mirrors.settings import MirrorSettings
from marigoldhoist.core.background import start_background
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.events import emit
from marigoldhoist.core.identity import DaemonSettings, split_address
from marigoldhoist.core.kernel import BaseService, Kernel


class MirrorService(BaseService):
    """Provides other daemons as sources of this daemon's feeds."""

    def __init__(self, kernel: Kernel) -> None:
        daemon = kernel.settings.section(DaemonSettings)
        self._settings = kernel.settings.section(MirrorSettings)
        self._feeds = kernel.find(FEEDS, FeedService)
        own = DaemonInfo(
            daemon.host,
            self._settings.address or '',
            daemon.failure_domain,
            0,
            self._settings.handover_address or '',
        )
        self.membership = Membership(own, SYSTEM_CLOCK.boottime_s)
        # Boot time is monotonic, so each start on a host gets another number.
        start_number = int(SYSTEM_CLOCK.boottime_s() * MS_PER_S)
        self.findings = FindingExchange(
            daemon.host, start_number, SYSTEM_CLOCK.boottime_s
        )
        self._client = PeerClient(self.membership, self.findings)
        self._server: grpclib.server.Server | None = None
        self._gossip_task: asyncio.Task[None] | None = None
        self._pusher = FindingPusher(self.membership, self._client)
        self._push_task: asyncio.Task[None] | None = None
        self._is_reader = True
        self._feeds.set_source_selector(self.select_sources)

    async def listen(self) -> None:
        """Start the peer server and the gossip task."""
        if self._settings.address is None:
            return
        host, port = split_address(self._settings.address)
        handler = MirrorHandler(
            self.membership, self.findings, self._feeds.feed_by_topic
        )
        self._server = grpclib.server.Server([handler], codec=MsgpackCodec())
        await self._server.start(host, port)
        self._gossip_task = start_background('gossip', self._run_gossip_loop)
        self._push_task = start_background('push', self._pusher.run)

    def stop(self) -> None:
        """Stop the gossip task, the peer server and the client."""
        for task in (self._gossip_task, self._push_task):
            if task is not None:
                task.cancel()
        if self._server is not None:
            self._server.close()
        self._client.close()

    @property
    def is_reader(self) -> bool:
        """Return whether this daemon reads the store for its domain."""
        return self.membership.select_readers(READERS_PER_DOMAIN) is None

    def push_findings(self) -> None:
        """Send the findings soon to the daemons that pass them on."""
        self._pusher.request()

    def select_sources(self, store: Source) -> list[Source]:
        """Return the sources that a feed queries, in order of preference."""
        readers = self.membership.select_readers(READERS_PER_DOMAIN)
        self._update_role(is_reader=readers is None)
        preferred = readers or []
        deputies = self.membership.select_deputies(
            READERS_PER_DOMAIN, DEPUTIES_PER_DOMAIN
        )
        fallback = [
            member
            for member in self.membership.available()
            if member not in preferred and member not in deputies
        ]
        random.shuffle(fallback)
        return [
            *self._as_sources(preferred, is_reader=True),
            *self._as_sources(deputies, is_reader=False),
            store,
            *self._as_sources(fallback[:FALLBACK_PEERS], is_reader=False),
        ]

    def _as_sources(
        self, members: list[Member], *, is_reader: bool
    ) -> list[Source]:
        return [
            PeerSource(self._client, member, is_reader=is_reader)
            for member in members
        ]

    def _update_role(self, *, is_reader: bool) -> None:
        if is_reader is not self._is_reader:
            emit(
                READER_CHANGED,
                is_reader=is_reader,
                members=len(self.membership.member_by_host),
            )
            self._is_reader = is_reader

    async def _run_gossip_loop(self) -> None:
        """Discover and refresh other daemons by periodic gossip calls."""
        discovered_s = SYSTEM_CLOCK.boottime_s() + DISCOVERY_S
        while True:
            self.membership.remove_expired()
            if self._is_reader or not self.membership.member_by_host:
                await self._gossip_once()
            is_discovering = SYSTEM_CLOCK.boottime_s() < discovered_s
            is_short = is_discovering or self._has_roll_outs
            interval_s = SHORT_INTERVAL_S if is_short else GOSSIP_INTERVAL_S
            await asyncio.sleep(interval_s * random.uniform(0.5, 1))

    @property
    def _has_roll_outs(self) -> bool:
        """Return whether roll-outs are open, which findings decide."""
        return Topic.STATUS in self._feeds.feed_by_topic

    async def _gossip_once(self) -> None:
        candidates = (
            self._has_roll_outs and self.membership.select_relays()
        ) or self.membership.available()
        known_addresses = {member.address for member in candidates}
        candidates += [
            Member(seed, seed, '', SYSTEM_CLOCK.boottime_s())
            for seed in self._settings.seeds
            if seed not in known_addresses and seed != self._settings.address
        ]
        if not candidates:
            return
        try:
            await self._client.read(random.choice(candidates), topic=None)
        except StoreUnavailableError:
            # The client has logged the failure; the next call picks again.
            return


def find_mirrors(kernel: Kernel) -> MirrorService:
    """Return the mirror service of a kernel."""
    return kernel.find(COMPONENT, MirrorService)


def find_membership(kernel: Kernel) -> Membership:
    """Return the membership that the mirror service of a kernel keeps."""
    return find_mirrors(kernel).membership
