"""Read requests and write answers on asyncio streams, without the product."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Mapping
from typing import Final
from urllib.parse import parse_qsl, urlsplit

HEAD_END: Final = b'\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class SeenRequest:
    """A request as a stand-in received it; header names are lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> SeenRequest | None:
    """Return the next request, none where the peer has closed."""
    try:
        head = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').rstrip().split('\r\n')
    method, target, _ = first.split(' ')
    headers = {
        name.strip().lower(): content.strip()
        for name, _, content in (line.partition(':') for line in lines)
    }
    size = int(headers.get('content-length', '0'))
    body = await reader.readexactly(size) if size else b''
    parts = urlsplit(target)
    return SeenRequest(
        method, parts.path, dict(parse_qsl(parts.query)), headers, body
    )


class StandInServer:
    """Listens on loopback; what it serves is its subclass's matter."""

    def __init__(self) -> None:
        self.address = ''
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'

    def reset(self) -> None:
        """Reset every connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await self.serve(reader, writer)
        self._writers.discard(writer)
        writer.transport.abort()


def answer(
    status: int, headers: Mapping[str, str] | None = None, body: bytes = b''
) -> bytes:
    """Return a whole answer."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + HEAD_END + body


def chunk(body: bytes) -> bytes:
    """Frame a body as one chunk."""
    return b'%x\r\n%b\r\n' % (len(body), body)
