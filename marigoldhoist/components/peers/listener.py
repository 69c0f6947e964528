"""Accept links from peers and dispatch their messages to topics."""

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
    LINK_TIMEOUT_S,
    NONCE_BYTES,
)
from marigoldhoist.components.peers.errors import LinkError
from marigoldhoist.components.peers.events import PEER_REFUSED
from marigoldhoist.components.peers.frame_auth import FrameAuthenticator
from marigoldhoist.components.peers.link import FROM_DIALER, FROM_LISTENER
from marigoldhoist.components.peers.models import Hello
from marigoldhoist.components.peers.topics import TopicHandlers
from marigoldhoist.components.peers.wire.link_grpc import PeerLinkBase
from marigoldhoist.components.peers.wire.link_pb2 import Frame
from marigoldhoist.core.decoding import decode_msgpack
from marigoldhoist.core.events import emit
from marigoldhoist.core.identity import DaemonSettings

FIRST_SESSION_SEQUENCE: Final = 2

PeerStream = grpclib.server.Stream[Frame, Frame]


class Listener(PeerLinkBase):
    """gRPC service that peers dial; one stream per link."""

    def __init__(
        self,
        daemon: DaemonSettings,
        shared_key: bytes,
        topics: TopicHandlers,
        on_authenticated: Callable[[str], None],
    ) -> None:
        self._daemon = daemon
        self._shared_key = shared_key
        self._topics = topics
        self._on_authenticated = on_authenticated

    async def Exchange(self, stream: PeerStream) -> None:
        """Authenticate the dialer, then handle messages until it is silent."""
        authenticator = FrameAuthenticator(self._shared_key)
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                peer = await self._handshake(stream, authenticator)
        except (LinkError, TimeoutError, msgspec.MsgspecError) as error:
            emit(PEER_REFUSED, error=str(error))
            return
        try:
            await self._serve(stream, authenticator, peer)
        except LinkError as error:
            emit(PEER_REFUSED, peer=peer, error=str(error))

    async def _handshake(
        self, stream: PeerStream, authenticator: FrameAuthenticator
    ) -> str:
        frame = await stream.recv_message()
        if frame is None or frame.topic != HELLO_TOPIC:
            raise LinkError('first message is not a hello')
        authenticator.verify(frame, FROM_DIALER)
        hello = decode_msgpack(frame.payload, Hello)
        nonce = secrets.token_bytes(NONCE_BYTES)
        answer = Hello(self._daemon.host, self._daemon.failure_domain, nonce)
        reply = Frame(topic=HELLO_TOPIC, payload=msgspec.msgpack.encode(answer))
        await stream.send_message(authenticator.sign(reply, FROM_LISTENER))
        authenticator.derive_session_key(hello.nonce, nonce)
        return hello.host

    async def _serve(
        self, stream: PeerStream, authenticator: FrameAuthenticator, peer: str
    ) -> None:
        while True:
            try:
                async with asyncio.timeout(LINK_TIMEOUT_S):
                    frame = await stream.recv_message()
            except TimeoutError:
                return
            if frame is None:
                return
            authenticator.verify(frame, FROM_DIALER)
            if frame.sequence == FIRST_SESSION_SEQUENCE:
                # The first frame under the session key proves that the hello
                # was not replayed.
                self._on_authenticated(peer)
            reply = self._reply_to(frame, peer)
            if reply is not None:
                await stream.send_message(
                    authenticator.sign(reply, FROM_LISTENER)
                )

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
