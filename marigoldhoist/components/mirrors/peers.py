"""Client and server of reads between daemons."""

import asyncio
from collections.abc import Mapping
from typing import Final

import grpclib.client
import grpclib.const
import grpclib.server
import msgspec
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from marigoldhoist.components.feeds.errors import StoreUnavailableError
from marigoldhoist.components.feeds.feed import PEER, Feed
from marigoldhoist.components.feeds.models import (
    Batch,
    KeyedRecord,
    Position,
    ReadResult,
    Topic,
)
from marigoldhoist.components.mirrors.codec import MsgpackCodec
from marigoldhoist.components.mirrors.const import (
    CALL_TIMEOUT_S,
    MAX_LONG_POLL_S,
)
from marigoldhoist.components.mirrors.findings import FindingExchange
from marigoldhoist.components.mirrors.member_updates import MemberUpdates
from marigoldhoist.components.mirrors.membership import Member, Membership
from marigoldhoist.components.mirrors.models import (
    MirroredRecord,
    ReadReply,
    ReadRequest,
)
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.identity import split_address

READ_METHOD: Final = '/marigoldhoist.Mirror/Read'
# Offset of a request for the newest record of every key.
FULL_READ_OFFSET: Final = -1
CALL_ERRORS: Final = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    msgspec.MsgspecError,
)


class PeerClient:
    """Calls other daemons over one persistent connection each."""

    def __init__(
        self, membership: Membership, findings: FindingExchange
    ) -> None:
        self.membership = membership
        self._findings = findings
        self._channel_by_address: dict[str, grpclib.client.Channel] = {}

    async def read(
        self,
        member: Member,
        topic: Topic | None,
        position: Position | None = None,
        wait_s: float = 0,
    ) -> ReadReply:
        """Return a daemon's reply, or raise StoreUnavailableError.

        Without a topic, the call only exchanges daemons and findings.
        """
        name = topic.value if topic else ''
        findings = self._findings.findings_for_read(name)
        start = position or Position(FULL_READ_OFFSET)
        request = ReadRequest(
            self.membership.own,
            name,
            start.offset,
            wait_s,
            findings,
            start.era,
        )
        try:
            reply = await self._call(member.address, request)
        except CALL_ERRORS as error:
            self.membership.record_failure(member, repr(error))
            self._close_channel(member.address)
            raise StoreUnavailableError(f'{member.host}: {error!r}') from error
        self.membership.record_response(member)
        self.membership.merge(reply.daemons)
        self._findings.merge(reply.findings)
        return reply

    def close(self) -> None:
        """Close all connections."""
        for address in tuple(self._channel_by_address):
            self._close_channel(address)

    async def _call(self, address: str, request: ReadRequest) -> ReadReply:
        channel = self._channel_by_address.get(address)
        if channel is None:
            host, port = split_address(address)
            channel = grpclib.client.Channel(host, port, codec=MsgpackCodec())
            self._channel_by_address[address] = channel
        method: grpclib.client.UnaryUnaryMethod[ReadRequest, ReadReply] = (
            grpclib.client.UnaryUnaryMethod(
                channel, READ_METHOD, ReadRequest, ReadReply
            )
        )
        async with asyncio.timeout(request.wait_s + CALL_TIMEOUT_S):
            return await method(request)

    def _close_channel(self, address: str) -> None:
        channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            channel.close()


class PeerSource:
    """Another daemon as the source of a feed."""

    kind = PEER
    max_wait_s = MAX_LONG_POLL_S

    def __init__(
        self, client: PeerClient, member: Member, *, is_reader: bool
    ) -> None:
        self._client = client
        self._member = member
        self._is_reader = is_reader
        self.name = member.host

    async def read(
        self, topic: Topic, position: Position | None, wait_s: float
    ) -> ReadResult:
        """Return the daemon's records from a position, with their age.

        A daemon that is in another era gives all its records.
        """
        reply = await self._client.read(
            self._member, topic, position, min(wait_s, self.max_wait_s)
        )
        if reply.end is None:
            raise StoreUnavailableError(
                f'{self.name} does not follow {topic.value}'
            )
        if reply.is_relayed and self._is_reader:
            self._client.membership.record_relaying(self._member)
        records = tuple(
            KeyedRecord(record.key, record.value, record.offset)
            for record in reply.records
        )
        is_tail = position is not None and not reply.is_whole
        first_end = position.offset if position and is_tail else 0
        return ReadResult(
            Batch(records, max(first_end, reply.end), reply.era),
            reply.age_s,
            is_whole=not is_tail,
            is_relayed=reply.is_relayed,
            is_settling=reply.is_settling,
        )


class MirrorHandler:
    """Serves this daemon's feeds to other daemons over gRPC."""

    def __init__(
        self,
        membership: Membership,
        findings: FindingExchange,
        feed_by_topic: Mapping[Topic, Feed],
    ) -> None:
        self._membership = membership
        self._findings = findings
        self._feed_by_topic = feed_by_topic
        self._updates = MemberUpdates(SYSTEM_CLOCK.boottime_s)

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the gRPC handlers by method path."""
        return {
            READ_METHOD: grpclib.const.Handler(
                self._read,
                grpclib.const.Cardinality.UNARY_UNARY,
                ReadRequest,
                ReadReply,
            )
        }

    async def _read(
        self, stream: grpclib.server.Stream[ReadRequest, ReadReply]
    ) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        self._membership.merge((request.caller,))
        self._findings.merge(request.findings)
        await stream.send_message(await self._reply(request))

    async def _reply(self, request: ReadRequest) -> ReadReply:
        feed = self._feed_for(request.topic)
        if feed is None or _has_nothing_to_wait_for(feed):
            return self._with_gossip(request, ReadReply([], None, 0, []))
        # A request for all records waits only for a feed that has read nothing
        # yet, which is common when all daemons start to follow a topic at once.
        start = Position(request.offset, request.era)
        await feed.wait_for_records(start, min(request.wait_s, MAX_LONG_POLL_S))
        position = feed.position
        if position is None or _is_behind(position, request):
            return self._with_gossip(request, ReadReply([], None, 0, []))
        is_whole = (
            request.offset == FULL_READ_OFFSET or request.era != position.era
        )
        first_offset = 0 if is_whole else request.offset
        records = [
            MirroredRecord(record.key, record.value, record.offset)
            for record in feed.records_from(first_offset)
        ]
        reply = ReadReply(
            records,
            position.offset,
            feed.age_s,
            daemons=[],
            is_relayed=feed.is_from_peer,
            era=position.era,
            is_whole=is_whole,
            is_settling=feed.is_settling,
        )
        return self._with_gossip(request, reply)

    def _with_gossip(self, request: ReadRequest, reply: ReadReply) -> ReadReply:
        """Return the reply with the findings and, if due, the known daemons."""
        member_count = len(self._membership.member_by_host)
        is_due = self._updates.take(request.caller.host, member_count)
        return msgspec.structs.replace(
            reply,
            daemons=self._membership.daemons() if is_due else [],
            findings=self._findings.findings_for_reply(request.topic),
        )

    def _feed_for(self, name: str) -> Feed | None:
        topic = next((known for known in Topic if known.value == name), None)
        return self._feed_by_topic.get(topic) if topic else None


def _is_behind(position: Position, request: ReadRequest) -> bool:
    """Return whether the records are of an earlier era than requested."""
    if request.era is None:
        return False
    return position.era is None or position.era < request.era


def _has_nothing_to_wait_for(feed: Feed) -> bool:
    """Return whether a feed has no records and no source that gives any."""
    return feed.position is None and feed.is_lost
