"""A gateway process beside crowds of callers that keep to no limit."""

import asyncio
import contextlib
import pathlib
from collections.abc import AsyncIterator, Iterator, Mapping
from functools import partial
from typing import Final

import pytest

from tests.crowd import (
    KIB,
    MIB,
    Attack,
    Crowd,
    Pieces,
    ask,
    chunked_pieces,
    repeated_pieces,
    sized_pieces,
)
from tests.known_red import known_red
from tests.platform.harness import HOST, configuration, encode_request
from tests.process_figures import open_descriptors, peak_memory_bytes
from tools.platform_standins.replica import StandInReplica
from tools.platform_standins.store import (
    OPERATOR_TOPIC,
    REPLICAS_TOPIC,
    StandInStore,
)
from tools.soak.daemons import DaemonProcess

CROWD: Final = 30
# The memory of the smallest host that the gateway is meant for.
MAX_MEMORY_BYTES: Final = 128 * MIB
MAX_DESCRIPTORS: Final = 200
# The largest body that the limits of the configuration allow.
MAX_BODY_BYTES: Final = 4_194_304
# What a caller of a crowd sends in trailers or chunk extensions.
ENDLESS_BYTES: Final = 4 * MIB
# Callers that leave answers unread, and the size of a large answer.
UNREAD_CROWD: Final = 60
UNREAD_ANSWER_BYTES: Final = 8_000_000
PIECE_PAUSE_S: Final = 0.02
ORDINARY: Final = encode_request('/safe/x')


def head(path: str = '/unsafe/x', **headers: str) -> bytes:
    """Return the head of a request on a connection that is kept."""
    return encode_request(path, Connection='keep-alive', **headers)


def sized_head(size_bytes: int, **headers: str) -> bytes:
    """Return the head of a request with a body of the given size."""
    return head(Content_Length=str(size_bytes), **headers)


def chunked_head() -> bytes:
    """Return the head of a request with a chunked body."""
    return head(Transfer_Encoding='chunked')


def incomplete(**headers: str) -> Iterator[bytes]:
    """Yield the largest body but for its last byte."""
    return sized_pieces(
        sized_head(MAX_BODY_BYTES, **headers), MAX_BODY_BYTES - 1
    )


def whole(size_bytes: int = MAX_BODY_BYTES) -> Iterator[bytes]:
    """Yield a whole request with a body of the given size."""
    return sized_pieces(sized_head(size_bytes), size_bytes)


def endless(start: bytes, block: bytes) -> Attack:
    """Return an attack that goes on with a block after the head was read."""

    def pieces() -> Iterator[bytes]:
        yield chunked_head()
        yield from repeated_pieces(start, block, ENDLESS_BYTES)

    return Attack(pieces, pause_s=PIECE_PAUSE_S)


def chunked(chunk_bytes: int, size_bytes: int) -> Iterator[bytes]:
    """Yield a chunked body without its last chunk."""
    return chunked_pieces(chunked_head(), chunk_bytes, size_bytes)


def pipelined(path: str, count: int) -> Iterator[bytes]:
    """Yield requests in a row."""
    for _ in range(count):
        yield head(path)


FIRST_CHUNKS: Final = b'1\r\nx\r\n0\r\n'
LINE_START: Final = b'%bX-Filler: ' % FIRST_CHUNKS
ATTACKS: Final = {
    'trailers': endless(FIRST_CHUNKS, b'X-Filler: filler\r\n' * 2 * KIB),
    'small_trailers': endless(FIRST_CHUNKS, b'a:b\r\n' * 8 * KIB),
    'trailer_line': endless(LINE_START, b'x' * 64 * KIB),
    'whole_bodies': Attack(whole),
    'incomplete_bodies': Attack(incomplete),
    'unknown_key': Attack(partial(incomplete, X_Api_Key='unknown')),
    'pieces': Attack(incomplete, pause_s=PIECE_PAUSE_S),
    'chunks': Attack(partial(chunked, 64 * KIB, MAX_BODY_BYTES)),
    'small_chunks': Attack(partial(chunked, 1, MIB)),
}


class Gateway:
    """A gateway process with its store and two replicas."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.store = StandInStore()
        self.replicas = [StandInReplica('p1'), StandInReplica('p2')]
        self._folder = folder
        self.process: DaemonProcess

    @property
    def address(self) -> str:
        """Return the address for callers."""
        return self.process.caller_address

    async def start(self) -> None:
        """Start all parts and wait until the gateway is ready."""
        await self.store.start(HOST)
        await self.store.put(OPERATOR_TOPIC, 'config', configuration(1))
        for replica in self.replicas:
            replica.body_bytes_by_path = {'/safe/large': UNREAD_ANSWER_BYTES}
            await replica.start(HOST)
            entry = replica.entry('plain')
            await self.store.put(REPLICAS_TOPIC, replica.name, entry)
        self.process = DaemonProcess(
            'd1',
            self._folder,
            {'gateway': {}, 'store': {'address': self.store.address}},
        )
        self.process.start([])
        await self.process.wait_until_ready()

    def stop(self) -> None:
        """Stop all parts."""
        self.process.kill()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()

    def require_within_bounds(self) -> None:
        """Check that the process lives within its memory and descriptors."""
        assert self.process.is_running
        assert peak_memory_bytes(self.process.pid) < MAX_MEMORY_BYTES
        assert open_descriptors(self.process.pid) < MAX_DESCRIPTORS


@contextlib.asynccontextmanager
async def running(folder: pathlib.Path) -> AsyncIterator[Gateway]:
    """Provide a running gateway."""
    gateway = Gateway(folder)
    try:
        await gateway.start()
        yield gateway
    finally:
        gateway.stop()


async def meet(gateway: Gateway, attack: Attack, size: int = CROWD) -> None:
    """Check a gateway while a crowd is there and after it has gone."""
    async with Crowd(gateway.address, attack, size):
        assert await ask(gateway.address, ORDINARY) == 200
        gateway.require_within_bounds()
    assert await ask(gateway.address, ORDINARY) == 200
    gateway.require_within_bounds()


class TestCrowd:
    """The process lives within its bounds and answers ordinary callers."""

    @pytest.mark.parametrize('name', ATTACKS)
    def test_memory_is_bounded(self, name: str, tmp_path: pathlib.Path) -> None:
        async def scenario() -> None:
            async with running(tmp_path) as gateway:
                await meet(gateway, ATTACKS[name])

        asyncio.run(scenario())

    def test_memory_does_not_grow_from_crowd_to_crowd(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario() -> None:
            async with running(tmp_path) as gateway:
                for size_bytes in (3_100_000, MAX_BODY_BYTES, MIB, 2_500_000):
                    await meet(gateway, Attack(partial(whole, size_bytes)))
                    await meet(gateway, ATTACKS['incomplete_bodies'])

        asyncio.run(scenario())

    @pytest.mark.parametrize(
        ('path', 'count'),
        [
            ('/safe/x', 20_000),
            pytest.param(
                '/safe/large',
                4,
                marks=known_red(42),
            ),
        ],
    )
    def test_callers_that_read_no_answers_are_bounded(
        self, path: str, count: int, tmp_path: pathlib.Path
    ) -> None:
        attack = Attack(partial(pipelined, path, count), reads=False)

        async def scenario() -> None:
            async with running(tmp_path) as gateway:
                await meet(gateway, attack, UNREAD_CROWD)

        asyncio.run(scenario())


BODIES: Final[Mapping[str, Pieces]] = {
    'length': whole,
    'chunks': partial(chunked, 64 * KIB, MAX_BODY_BYTES),
    'small_chunks': partial(chunked, 1, MIB),
}


class TestSingleRequest:
    """A request inside the limits is served when nobody else asks."""

    @pytest.mark.parametrize('name', BODIES)
    def test_is_served(self, name: str, tmp_path: pathlib.Path) -> None:
        request = b''.join(BODIES[name]())
        if name != 'length':
            request = b'%b0\r\n\r\n' % request
        size_bytes = MIB if name == 'small_chunks' else MAX_BODY_BYTES

        async def scenario() -> None:
            async with running(tmp_path) as gateway:
                assert await ask(gateway.address, request) == 200
                bodies = [
                    executed.body
                    for replica in gateway.replicas
                    for executed in replica.executed_requests
                ]
                assert bodies == [b'x' * size_bytes]
                gateway.require_within_bounds()

        asyncio.run(scenario())
