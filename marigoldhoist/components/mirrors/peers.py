"""Ask other daemons, and answer them."""

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
    ReadResult,
    Topic,
)
from marigoldhoist.components.mirrors.codec import MsgpackCodec
from marigoldhoist.components.mirrors.const import (
    CALL_TIMEOUT_S,
    LONGEST_WAIT_S,
)
from marigoldhoist.components.mirrors.findings import FindingExchange
from marigoldhoist.components.mirrors.members import Member, Members
from marigoldhoist.components.mirrors.models import (
    MirroredRecord,
    ReadReply,
    ReadRequest,
)
from marigoldhoist.core.identity import split_address

READ_METHOD: Final = '/marigoldhoist.Mirror/Read'
WHOLE: Final = -1
CALL_ERRORS: Final = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)


class PeerClient:
    """Calls to other daemons over one connection each."""

    def __init__(self, members: Members, findings: FindingExchange) -> None:
        self.members = members
        self._findings = findings
        self._channel_by_address: dict[str, grpclib.client.Channel] = {}

    async def read(
        self, member: Member, topic: Topic | None, offset: int, wait_s: float
    ) -> ReadReply:
        """Return a daemon's answer; StoreUnavailableError for none."""
        name = topic.value if topic else ''
        findings = self._findings.along_with(name)
        request = ReadRequest(self.members.own, name, offset, wait_s, findings)
        try:
            reply = await self._call(member.address, request)
        except CALL_ERRORS as error:
            self.members.note_failed(member, repr(error))
            self._drop(member.address)
            raise StoreUnavailableError(f'{member.host}: {error!r}') from error
        self.members.note_answered(member)
        self.members.hear(reply.daemons)
        self._findings.merge(reply.findings)
        return reply

    def close(self) -> None:
        """Close every connection."""
        for address in tuple(self._channel_by_address):
            self._drop(address)

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

    def _drop(self, address: str) -> None:
        channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            channel.close()


class PeerSource:
    """A daemon as the source of a feed."""

    kind = PEER

    def __init__(
        self, client: PeerClient, member: Member, *, is_reader: bool
    ) -> None:
        self._client = client
        self._member = member
        self._is_reader = is_reader
        self.name = member.host

    async def read(
        self, topic: Topic, offset: int | None, wait_s: float
    ) -> ReadResult:
        """Return what the daemon has from an offset on, with its age."""
        start = WHOLE if offset is None else offset
        reply = await self._client.read(
            self._member, topic, start, min(wait_s, LONGEST_WAIT_S)
        )
        if reply.end is None:
            raise StoreUnavailableError(
                f'{self.name} does not follow {topic.value}'
            )
        if reply.is_relayed and self._is_reader:
            self._client.members.note_relaying(self._member)
        records = tuple(
            KeyedRecord(record.key, record.value, record.offset)
            for record in reply.records
        )
        end = reply.end if offset is None else max(offset, reply.end)
        return ReadResult(
            Batch(records, end),
            reply.age_s,
            is_whole=offset is None,
            is_relayed=reply.is_relayed,
        )


class MirrorHandler:
    """Answers other daemons from this daemon's feeds."""

    def __init__(
        self,
        members: Members,
        findings: FindingExchange,
        feed_by_topic: Mapping[Topic, Feed],
    ) -> None:
        self._members = members
        self._findings = findings
        self._feed_by_topic = feed_by_topic

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the methods by path."""
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
        self._members.hear((request.caller,))
        self._findings.merge(request.findings)
        await stream.send_message(await self._reply(request))

    async def _reply(self, request: ReadRequest) -> ReadReply:
        feed = self._feed_for(request.topic)
        if feed is None or feed.end is None:
            return self._told(request, ReadReply([], None, 0, []))
        if request.offset != WHOLE:
            await feed.wait_for_offset(
                request.offset, min(request.wait_s, LONGEST_WAIT_S)
            )
        records = [
            MirroredRecord(record.key, record.value, record.offset)
            for record in feed.records_from(max(0, request.offset))
        ]
        reply = ReadReply(
            records,
            feed.end,
            feed.age_s,
            daemons=[],
            is_relayed=feed.is_from_peer,
        )
        return self._told(request, reply)

    def _told(self, request: ReadRequest, reply: ReadReply) -> ReadReply:
        """Return a reply with the known daemons, and findings where asked."""
        return msgspec.structs.replace(
            reply,
            daemons=self._members.cards(),
            findings=self._findings.along_with(request.topic),
        )

    def _feed_for(self, name: str) -> Feed | None:
        topic = next((one for one in Topic if one.value == name), None)
        return self._feed_by_topic.get(topic) if topic else None
