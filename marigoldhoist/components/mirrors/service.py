"""Decide whom a feed asks: the store, the domain's reader, or another daemon.

Answers the load of a fleet whose every daemon would poll the store: one
daemon of each failure domain does, and the others ask it. Where the store
turns a daemon away, others that still reach it are asked instead.
"""

import asyncio
import random

import grpclib.server

from marigoldhoist.components.feeds.const import COMPONENT as FEEDS
from marigoldhoist.components.feeds.errors import StoreUnavailableError
from marigoldhoist.components.feeds.models import Source
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.components.mirrors.codec import MsgpackCodec
from marigoldhoist.components.mirrors.const import (
    GOSSIP_INTERVAL_S,
    READERS,
    SPARE_PEERS,
)
from marigoldhoist.components.mirrors.events import READER_CHANGED
from marigoldhoist.components.mirrors.findings import FindingExchange
from marigoldhoist.components.mirrors.members import Member, Members
from marigoldhoist.components.mirrors.models import DaemonCard
from marigoldhoist.components.mirrors.peers import (
    WHOLE,
    MirrorHandler,
    PeerClient,
    PeerSource,
)
from marigoldhoist.components.mirrors.settings import MirrorSettings
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.events import emit
from marigoldhoist.core.identity import DaemonSettings, split_address
from marigoldhoist.core.kernel import BaseService, Kernel


class MirrorService(BaseService):
    """Other daemons, as sources of this daemon's feeds."""

    def __init__(self, kernel: Kernel) -> None:
        daemon = kernel.settings.section(DaemonSettings)
        self._settings = kernel.settings.section(MirrorSettings)
        self._feeds = kernel.find(FEEDS, FeedService)
        own = DaemonCard(
            daemon.host,
            self._settings.address or '',
            daemon.failure_domain,
            0,
        )
        self.members = Members(own, SYSTEM_CLOCK.boottime_s)
        # Boot times only grow on a host, and are alike at no two starts.
        start_number = int(SYSTEM_CLOCK.boottime_s() * MS_PER_S)
        self.findings = FindingExchange(
            daemon.host, start_number, SYSTEM_CLOCK.boottime_s
        )
        self._client = PeerClient(self.members, self.findings)
        self._server: grpclib.server.Server | None = None
        self._gossip: asyncio.Task[None] | None = None
        self._was_reader = True
        self._feeds.set_source_selector(self.sources)

    async def listen(self) -> None:
        """Answer other daemons and begin to look for them."""
        if self._settings.address is None:
            return
        host, port = split_address(self._settings.address)
        handler = MirrorHandler(
            self.members, self.findings, self._feeds.feed_by_topic
        )
        self._server = grpclib.server.Server([handler], codec=MsgpackCodec())
        await self._server.start(host, port)
        self._gossip = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Leave other daemons alone."""
        if self._gossip is not None:
            self._gossip.cancel()
        if self._server is not None:
            self._server.close()
        self._client.close()

    def sources(self, store: Source) -> list[Source]:
        """Return whom a feed asks, in that order."""
        readers = self.members.readers(READERS)
        self._note_reader(is_reader=readers is None)
        asked = readers or []
        spare = [one for one in self.members.usable() if one not in asked]
        random.shuffle(spare)
        return [
            *self._as_sources(asked, is_reader=True),
            store,
            *self._as_sources(spare[:SPARE_PEERS], is_reader=False),
        ]

    def _as_sources(
        self, members: list[Member], *, is_reader: bool
    ) -> list[Source]:
        return [
            PeerSource(self._client, member, is_reader=is_reader)
            for member in members
        ]

    def _note_reader(self, *, is_reader: bool) -> None:
        if is_reader is not self._was_reader:
            emit(
                READER_CHANGED,
                is_reader=is_reader,
                members=len(self.members.member_by_host),
            )
            self._was_reader = is_reader

    async def _run(self) -> None:
        """Hear of other daemons from any daemon, now and then."""
        while True:
            self.members.forget_silent()
            if self._was_reader or not self.members.member_by_host:
                await self._ask_any()
            await asyncio.sleep(GOSSIP_INTERVAL_S * random.uniform(0.5, 1))

    async def _ask_any(self) -> None:
        candidates = self.members.usable()
        known = {member.address for member in candidates}
        candidates += [
            Member(seed, seed, '', SYSTEM_CLOCK.boottime_s())
            for seed in self._settings.seeds
            if seed not in known and seed != self._settings.address
        ]
        if not candidates:
            return
        try:
            await self._client.read(random.choice(candidates), None, WHOLE, 0)
        except StoreUnavailableError:
            # The client has logged the failure; another is asked next time.
            return
