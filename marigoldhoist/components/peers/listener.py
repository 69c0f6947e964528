"""Accept links from peers and hand their messages to the topics."""

import asyncio
import secrets
from collections.abc import Callable
from typing import Final

import grpclib.server
import msgspec

from marigoldhoist.components.peers.const import (
    DIAL_TIMEOUT_S,
    HEARTBEAT_TOPIC,
    HELLO_TOPIC,
    LINK_DEADLINE_S,
    NONCE_BYTES,
)
from marigoldhoist.components.peers.errors import LinkError
from marigoldhoist.components.peers.events import PEER_REFUSED
from marigoldhoist.components.peers.link import FROM_DIALER, FROM_LISTENER
from marigoldhoist.components.peers.models import Hello
from marigoldhoist.components.peers.seal import Seal
from marigoldhoist.components.peers.topics import Topics
from marigoldhoist.components.peers.wire.link_grpc import PeerLinkBase
from marigoldhoist.components.peers.wire.link_pb2 import Frame
from marigoldhoist.core.events import emit
from marigoldhoist.core.identity import DaemonSettings

AFTER_HELLO: Final = 2

PeerStream = grpclib.server.Stream[Frame, Frame]


class Listener(PeerLinkBase):
    """Serves one task for each link that a peer dials."""

    def __init__(
        self,
        daemon: DaemonSettings,
        shared_key: bytes,
        topics: Topics,
        on_proven: Callable[[str], None],
    ) -> None:
        self._daemon = daemon
        self._shared_key = shared_key
        self._topics = topics
        self._on_proven = on_proven

    async def Exchange(self, stream: PeerStream) -> None:
        """Greet the dialer, then handle its messages until it is silent."""
        seal = Seal(self._shared_key)
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                peer = await self._greet(stream, seal)
        except (LinkError, TimeoutError, msgspec.MsgspecError) as error:
            emit(PEER_REFUSED, error=str(error))
            return
        try:
            await self._serve(stream, seal, peer)
        except LinkError as forged:
            emit(PEER_REFUSED, peer=peer, error=str(forged))

    async def _greet(self, stream: PeerStream, seal: Seal) -> str:
        frame = await stream.recv_message()
        if frame is None or frame.topic != HELLO_TOPIC:
            raise LinkError('first message is not a hello')
        seal.check(frame, FROM_DIALER)
        hello = msgspec.msgpack.decode(frame.payload, type=Hello)
        nonce = secrets.token_bytes(NONCE_BYTES)
        answer = Hello(self._daemon.host, self._daemon.failure_domain, nonce)
        reply = Frame(topic=HELLO_TOPIC, payload=msgspec.msgpack.encode(answer))
        await stream.send_message(seal.sign(reply, FROM_LISTENER))
        seal.derive(hello.nonce, nonce)
        return hello.host

    async def _serve(self, stream: PeerStream, seal: Seal, peer: str) -> None:
        while True:
            try:
                async with asyncio.timeout(LINK_DEADLINE_S):
                    frame = await stream.recv_message()
            except TimeoutError:
                return
            if frame is None:
                return
            seal.check(frame, FROM_DIALER)
            if frame.sequence == AFTER_HELLO:
                # Only now is the hello known not to be a replayed one.
                self._on_proven(peer)
            reply = self._reply_to(frame, peer)
            if reply is not None:
                await stream.send_message(seal.sign(reply, FROM_LISTENER))

    def _reply_to(self, frame: Frame, peer: str) -> Frame | None:
        if frame.topic == HEARTBEAT_TOPIC:
            return Frame(topic=HEARTBEAT_TOPIC)
        payload = self._topics.handle(peer, frame.topic, frame.payload)
        if not frame.call_id:
            return None
        return Frame(
            topic=frame.topic,
            payload=payload,
            call_id=frame.call_id,
            is_reply=True,
        )
