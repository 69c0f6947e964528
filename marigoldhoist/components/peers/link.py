"""One dialled link: send frames, await replies, notice silence."""

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
    LINK_DEADLINE_S,
    NONCE_BYTES,
    OUTBOX_FRAMES,
)
from marigoldhoist.components.peers.errors import LinkError
from marigoldhoist.components.peers.models import Heartbeat, Hello
from marigoldhoist.components.peers.seal import Seal
from marigoldhoist.components.peers.wire.link_grpc import PeerLinkStub
from marigoldhoist.components.peers.wire.link_pb2 import Frame
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.identity import DaemonSettings

FROM_DIALER = b'dialer'
FROM_LISTENER = b'listener'

PeerStream = grpclib.client.Stream[Frame, Frame]


class Link:
    """A link to one peer, used from the loop that opened it."""

    def __init__(self, daemon: DaemonSettings, shared_key: bytes) -> None:
        self._daemon = daemon
        self._seal = Seal(shared_key)
        self._outbox: asyncio.Queue[Frame] = asyncio.Queue(OUTBOX_FRAMES)
        self._reply_by_call: dict[int, asyncio.Future[bytes]] = {}
        self._calls = 0
        self._is_closed = False
        self.peer = ''

    def send(self, topic: str, payload: bytes) -> bool:
        """Queue a message; False where the queue is full."""
        return self._queue(Frame(topic=topic, payload=payload))

    async def call(self, topic: str, payload: bytes) -> bytes:
        """Send a message and await its reply."""
        if self._is_closed:
            raise LinkError('link is down')
        self._calls += 1
        call_id = self._calls
        waiting: asyncio.Future[bytes] = asyncio.Future()
        self._reply_by_call[call_id] = waiting
        try:
            if not self._queue(
                Frame(topic=topic, payload=payload, call_id=call_id)
            ):
                raise LinkError('outbox is full')
            return await waiting
        finally:
            self._reply_by_call.pop(call_id, None)

    async def open(self, address: str, port: int) -> AsyncIterator[str]:
        """Dial, yield the peer's host name once, then run until it breaks.

        Raises LinkError when the link breaks or goes silent.
        """
        channel = grpclib.client.Channel(address, port)
        try:
            async with PeerLinkStub(channel).Exchange.open() as stream:
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    self.peer = await self._greet(stream)
                yield self.peer
                await self._run(stream)
        except (GRPCError, StreamTerminatedError, OSError) as error:
            raise LinkError(str(error)) from error
        finally:
            self._fail_calls()
            channel.close()

    async def _greet(self, stream: PeerStream) -> str:
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = Hello(self._daemon.host, self._daemon.failure_domain, nonce)
        frame = Frame(topic=HELLO_TOPIC, payload=msgspec.msgpack.encode(hello))
        await stream.send_message(self._seal.sign(frame, FROM_DIALER))
        answer = await stream.recv_message()
        if answer is None:
            raise LinkError('peer closed the link')
        self._seal.check(answer, FROM_LISTENER)
        greeted = msgspec.msgpack.decode(answer.payload, type=Hello)
        self._seal.derive(nonce, greeted.nonce)
        return greeted.host

    async def _run(self, stream: PeerStream) -> None:
        tasks = (
            asyncio.create_task(self._beat()),
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
        for ended in done:
            ended.result()

    async def _send_all(self, stream: PeerStream) -> None:
        while True:
            frame = await self._outbox.get()
            signed = self._seal.sign(frame, FROM_DIALER)
            async with asyncio.timeout(LINK_DEADLINE_S):
                await stream.send_message(signed)

    async def _beat(self) -> None:
        while True:
            beat = Heartbeat(SYSTEM_CLOCK.now_ms())
            self.send(HEARTBEAT_TOPIC, msgspec.msgpack.encode(beat))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _receive_all(self, stream: PeerStream) -> None:
        while True:
            async with asyncio.timeout(LINK_DEADLINE_S):
                frame = await stream.recv_message()
            if frame is None:
                raise LinkError('peer closed the link')
            self._seal.check(frame, FROM_LISTENER)
            waiting = self._reply_by_call.get(frame.call_id)
            if waiting is not None and not waiting.done():
                waiting.set_result(frame.payload)

    def _queue(self, frame: Frame) -> bool:
        try:
            self._outbox.put_nowait(frame)
        except asyncio.QueueFull:
            return False
        return True

    def _fail_calls(self) -> None:
        self._is_closed = True
        for waiting in self._reply_by_call.values():
            if not waiting.done():
                waiting.set_exception(LinkError('link is down'))
