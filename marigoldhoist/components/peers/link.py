"""Dialed link to a peer: sends frames, awaits replies, detects silence."""

import asyncio
import secrets
from collections.abc import AsyncIterator

import grpclib.client
import msgspec
from grpclib.exceptions import GRPCError, StreamTerminatedError

from marigoldhoist.components.peers.const import (
    DIAL_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TOPIC,
    HELLO_TOPIC,
    LINK_TIMEOUT_S,
    MAX_OUTBOX_FRAMES,
    NONCE_BYTES,
)
from marigoldhoist.components.peers.errors import LinkError
from marigoldhoist.components.peers.frame_auth import FrameAuthenticator
from marigoldhoist.components.peers.models import Heartbeat, Hello
from marigoldhoist.components.peers.wire.link_grpc import PeerLinkStub
from marigoldhoist.components.peers.wire.link_pb2 import Frame
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.decoding import decode_msgpack
from marigoldhoist.core.identity import DaemonSettings

FROM_DIALER = b'dialer'
FROM_LISTENER = b'listener'

PeerStream = grpclib.client.Stream[Frame, Frame]


class Link:
    """A link to one peer; use it only from the event loop that opened it."""

    def __init__(self, daemon: DaemonSettings, shared_key: bytes) -> None:
        self._daemon = daemon
        self._authenticator = FrameAuthenticator(shared_key)
        self._outbox: asyncio.Queue[Frame] = asyncio.Queue(MAX_OUTBOX_FRAMES)
        self._reply_by_call_id: dict[int, asyncio.Future[bytes]] = {}
        self._last_call_id = 0
        self._is_closed = False
        self.peer = ''
        self.link_id = b''

    def send(self, topic: str, payload: bytes) -> bool:
        """Queue a message; return False if the queue is full."""
        return self._enqueue(Frame(topic=topic, payload=payload))

    async def call(self, topic: str, payload: bytes) -> bytes:
        """Send a message and await its reply.

        Raises LinkError if the link is down or the queue is full.
        """
        if self._is_closed:
            raise LinkError('link is down')
        self._last_call_id += 1
        call_id = self._last_call_id
        reply: asyncio.Future[bytes] = asyncio.Future()
        self._reply_by_call_id[call_id] = reply
        try:
            if not self._enqueue(
                Frame(topic=topic, payload=payload, call_id=call_id)
            ):
                raise LinkError('outbox is full')
            return await reply
        finally:
            self._reply_by_call_id.pop(call_id, None)

    async def open(self, address: str, port: int) -> AsyncIterator[str]:
        """Dial and authenticate, yield the peer's host name, run the link.

        The host name is yielded once. Raises LinkError if the handshake
        fails, or when the link breaks or goes silent.
        """
        channel = grpclib.client.Channel(address, port)
        try:
            async with PeerLinkStub(channel).Exchange.open() as stream:
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    self.peer = await self._handshake(stream)
                yield self.peer
                await self._run(stream)
        except (GRPCError, StreamTerminatedError, OSError) as error:
            raise LinkError(str(error)) from error
        finally:
            self._fail_pending_calls()
            channel.close()

    async def _handshake(self, stream: PeerStream) -> str:
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = Hello(self._daemon.host, self._daemon.failure_domain, nonce)
        frame = Frame(topic=HELLO_TOPIC, payload=msgspec.msgpack.encode(hello))
        await stream.send_message(self._authenticator.sign(frame, FROM_DIALER))
        answer = await stream.recv_message()
        if answer is None:
            raise LinkError('peer closed the link')
        self._authenticator.verify(answer, FROM_LISTENER)
        peer_hello = _decode_hello(answer.payload)
        self._authenticator.derive_session_key(nonce, peer_hello.nonce)
        self.link_id = peer_hello.nonce
        return peer_hello.host

    async def _run(self, stream: PeerStream) -> None:
        tasks = (
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._send_all(stream)),
            asyncio.create_task(self._receive_all(stream)),
        )
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        for task in done:
            task.result()

    async def _send_all(self, stream: PeerStream) -> None:
        while True:
            frame = await self._outbox.get()
            signed = self._authenticator.sign(frame, FROM_DIALER)
            async with asyncio.timeout(LINK_TIMEOUT_S):
                await stream.send_message(signed)

    async def _send_heartbeats(self) -> None:
        while True:
            heartbeat = Heartbeat(SYSTEM_CLOCK.now_ms())
            self.send(HEARTBEAT_TOPIC, msgspec.msgpack.encode(heartbeat))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _receive_all(self, stream: PeerStream) -> None:
        while True:
            async with asyncio.timeout(LINK_TIMEOUT_S):
                frame = await stream.recv_message()
            if frame is None:
                raise LinkError('peer closed the link')
            self._authenticator.verify(frame, FROM_LISTENER)
            reply = self._reply_by_call_id.get(frame.call_id)
            if reply is not None and not reply.done():
                reply.set_result(frame.payload)

    def _enqueue(self, frame: Frame) -> bool:
        try:
            self._outbox.put_nowait(frame)
        except asyncio.QueueFull:
            return False
        return True

    def _fail_pending_calls(self) -> None:
        self._is_closed = True
        for reply in self._reply_by_call_id.values():
            if not reply.done():
                reply.set_exception(LinkError('link is down'))


def _decode_hello(payload: bytes) -> Hello:
    """Return the peer's hello, or raise LinkError if it is unreadable."""
    try:
        return decode_msgpack(payload, Hello)
    except msgspec.MsgspecError as error:
        raise LinkError(f'unreadable hello: {error}') from error
