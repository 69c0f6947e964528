"""A minimal HTTP/1.1 server for the stand-ins.

It uses no code of the daemon under test.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Mapping
from typing import Final
from urllib.parse import parse_qsl, urlsplit

HEAD_END: Final = b'\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that a stand-in received; header names are lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    """Read the next request; return None if the client has disconnected."""
    try:
        head = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    request_line, *lines = head.decode('latin-1').rstrip().split('\r\n')
    method, target, _ = request_line.split(' ')
    headers = {
        name.strip().lower(): text.strip()
        for name, _, text in (line.partition(':') for line in lines)
    }
    size = int(headers.get('content-length', '0'))
    body = await reader.readexactly(size) if size else b''
    parts = urlsplit(target)
    return ReceivedRequest(
        method, parts.path, dict(parse_qsl(parts.query)), headers, body
    )


class StandInServer:
    """Accepts TCP connections; subclasses serve them."""

    def __init__(self) -> None:
        self.address = ''
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int = 0) -> None:
        """Start listening; port 0 lets the kernel choose a free one."""
        self._server = await asyncio.start_server(self._accept, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'

    def reset(self) -> None:
        """Abort every open connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and abort every open connection."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle one connection until it ends."""
        raise NotImplementedError

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await self.serve(reader, writer)
        self._writers.discard(writer)
        writer.transport.abort()


def encode_response(
    status: int, headers: Mapping[str, str] | None = None, body: bytes = b''
) -> bytes:
    """Encode a response with a Content-Length header."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + HEAD_END + body


def encode_chunk(body: bytes) -> bytes:
    """Encode bytes as one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(body), body)
