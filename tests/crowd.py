"""Crowds of callers that send without end, or stop short of the end."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Iterator
from typing import Final

from marigoldhoist.core.identity import split_address

KIB: Final = 1024
MIB: Final = 1024 * KIB
PIECE_BYTES: Final = 64 * KIB
# Time for a crowd to send what it sends, or to be closed.
SEND_TIMEOUT_S: Final = 60.0
# How long an ordinary caller tries, with new connections.
ANSWER_TIMEOUT_S: Final = 60.0
RETRY_PAUSE_S: Final = 0.2
REFUSED_STATUSES: Final = frozenset((0, 429, 503))

Pieces = Callable[[], Iterator[bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Attack:
    """What each caller of a crowd sends, piece by piece.

    `pause_s` follows each piece. Callers that `is_dripping` send as long as the
    crowd exists. Without `reads`, answers are left unread.
    """

    pieces: Pieces
    pause_s: float = 0
    is_dripping: bool = False
    reads: bool = True


def sized_pieces(head: bytes, size_bytes: int) -> Iterator[bytes]:
    """Yield a head, then a body of the given size."""
    yield head
    for start in range(0, size_bytes, PIECE_BYTES):
        yield b'x' * min(PIECE_BYTES, size_bytes - start)


def repeated_pieces(head: bytes, block: bytes, total: int) -> Iterator[bytes]:
    """Yield a head, then a block until the total of bytes is reached."""
    yield head
    for _ in range(total // len(block)):
        yield block


def chunked_pieces(
    head: bytes, chunk_bytes: int, size_bytes: int
) -> Iterator[bytes]:
    """Yield a head, then a body in chunks without its last chunk."""
    yield head
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    chunks_per_piece = max(1, PIECE_BYTES // len(chunk))
    count = size_bytes // chunk_bytes
    for start in range(0, count, chunks_per_piece):
        yield chunk * min(chunks_per_piece, count - start)


class Crowd:
    """Callers that do the same at the same time; a context manager.

    Inside the block each caller has sent what it sends or was closed by the
    daemon; those that were not stay connected.
    """

    def __init__(self, address: str, attack: Attack, size: int) -> None:
        self._address = split_address(address)
        self._attack = attack
        self._size = size
        self._tasks: list[asyncio.Task[None]] = []
        self._has_sent: list[asyncio.Event] = []

    async def __aenter__(self) -> 'Crowd':
        """Start all callers and wait until they have sent."""
        for _ in range(self._size):
            has_sent = asyncio.Event()
            self._has_sent.append(has_sent)
            self._tasks.append(asyncio.create_task(self._call(has_sent)))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                for has_sent in self._has_sent:
                    await has_sent.wait()
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Disconnect all callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call(self, has_sent: asyncio.Event) -> None:
        try:
            reader, writer = await asyncio.open_connection(*self._address)
        except OSError:
            has_sent.set()
            return
        reading = asyncio.create_task(_discard(reader, self._attack.reads))
        try:
            await self._send(writer, has_sent)
            await reading
        finally:
            has_sent.set()
            reading.cancel()
            writer.transport.abort()

    async def _send(
        self, writer: asyncio.StreamWriter, has_sent: asyncio.Event
    ) -> None:
        with contextlib.suppress(OSError):
            for piece in self._attack.pieces():
                writer.write(piece)
                await writer.drain()
                if self._attack.is_dripping:
                    has_sent.set()
                await asyncio.sleep(self._attack.pause_s)
        has_sent.set()


async def _discard(reader: asyncio.StreamReader, reads: bool) -> None:
    """Read until the daemon closes; without `reads`, read nothing."""
    if not reads:
        await asyncio.Event().wait()
    with contextlib.suppress(OSError):
        while await reader.read(PIECE_BYTES):
            await asyncio.sleep(0)


async def ask(address: str, request: bytes) -> int:
    """Send a request until it is not refused; return the last status.

    The status is zero if there was no answer.
    """
    status = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            status = await _status(address, request)
            while status in REFUSED_STATUSES:
                await asyncio.sleep(RETRY_PAUSE_S)
                status = await _status(address, request)
    return status


async def _status(address: str, request: bytes) -> int:
    """Send a request once; return the status, zero without an answer."""
    try:
        reader, writer = await asyncio.open_connection(*split_address(address))
    except OSError:
        return 0
    try:
        writer.write(request)
        line = await reader.readline()
    except OSError:
        return 0
    finally:
        writer.transport.abort()
    return int(line.split(b' ')[1]) if line else 0
