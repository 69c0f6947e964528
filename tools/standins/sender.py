"""Send many token streams at an even pace from one asyncio process.

Run it as `python -m tools.standins.sender ADDRESS PORT TOKENS TOKEN_MS`.
"""

import asyncio
import contextlib
import gc
import sys

MS_PER_S = 1000
HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
TOKEN = b'data: {"choices":[{"delta":{"content":"valve "}}]}\n\n'
DONE = b'data: [DONE]\n\n'


def chunk(content: bytes) -> bytes:
    """Frame content as one chunk."""
    return b'%x\r\n%b\r\n' % (len(content), content)


END = b'%b0\r\n\r\n' % chunk(DONE)


class TokenSender(asyncio.Protocol):
    """Answers each request on a connection with one paced stream."""

    def __init__(self, tokens: int, token_s: float) -> None:
        self._tokens = tokens
        self._token_s = token_s
        self._framed = chunk(TOKEN)
        self._received = b''
        self._left = 0
        self._due_s: float = 0
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Begin a stream when a whole request came."""
        self._received += received
        head, found, body = self._received.partition(b'\r\n\r\n')
        if not found or len(body) < _length_of(head):
            return
        self._received = b''
        self._left = self._tokens
        self._transport.write(HEAD)
        self._due_s = self._loop.time()
        self._wait()

    def _wait(self) -> None:
        self._due_s += self._token_s
        self._loop.call_at(self._due_s, self._send)

    def _send(self) -> None:
        if self._transport.is_closing():
            return
        if not self._left:
            self._transport.write(END)
            return
        self._left -= 1
        self._transport.write(self._framed)
        self._wait()


def _length_of(head: bytes) -> int:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.partition(b':')[2])
    return 0


async def serve(address: str, port: int, tokens: int, token_s: float) -> None:
    """Serve until cancelled."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: TokenSender(tokens, token_s), address, port, backlog=1024
    )
    await server.serve_forever()


def main(address: str, port: str, tokens: str, token_ms: str) -> None:
    """Serve until told to stop."""
    gc.disable()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(
            serve(address, int(port), int(tokens), float(token_ms) / MS_PER_S)
        )


if __name__ == '__main__':
    main(*sys.argv[1:])
