"""Read requests and write answers on asyncio streams, without the product."""

import asyncio
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
