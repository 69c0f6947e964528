"""Push findings that cannot wait for the next read or gossip call."""

import asyncio
from collections.abc import Sequence

from marigoldhoist.components.feeds.errors import StoreUnavailableError
from marigoldhoist.components.mirrors.const import PUSH_INTERVAL_S
from marigoldhoist.components.mirrors.membership import Member, Membership
from marigoldhoist.components.mirrors.peers import PeerClient


class FindingPusher:
    """Sends the findings to the daemons that pass them on to the fleet.

    A daemon sends them to the reader of its failure domain, and a reader to the
    readers of the other domains. The daemons of a domain get them with their
    next read from the reader.
    """

    def __init__(self, membership: Membership, client: PeerClient) -> None:
        self._membership = membership
        self._client = client
        self._has_news = asyncio.Event()

    def request(self) -> None:
        """Ask for a push; those that are asked for meanwhile are joined."""
        self._has_news.set()

    async def run(self) -> None:
        """Push whenever asked to, at a limited rate."""
        while True:
            await self._has_news.wait()
            self._has_news.clear()
            reached = await self._push(self._membership.select_relays())
            # A relay that failed is avoided now; another one takes its place.
            await self._push(
                [
                    member
                    for member in self._membership.select_relays()
                    if member.failure_domain not in reached
                ]
            )
            await asyncio.sleep(PUSH_INTERVAL_S)

    async def _push(self, members: Sequence[Member]) -> set[str]:
        """Send the findings; return the failure domains that were reached."""
        outcomes = await asyncio.gather(*map(self._is_reached, members))
        return {
            member.failure_domain
            for member, is_reached in zip(members, outcomes, strict=True)
            if is_reached
        }

    async def _is_reached(self, member: Member) -> bool:
        try:
            await self._client.read(member, topic=None)
        except StoreUnavailableError:
            # The client has logged the failure.
            return False
        return True
