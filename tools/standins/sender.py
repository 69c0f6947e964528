"""Send many token streams at a constant rate from one asyncio process.

Run it as `python -m tools.standins.sender ADDRESS PORT TOKENS TOKEN_MS`.
"""

import asyncio
import contextlib
import gc
import sys

MS_PER_S = 1000
RESPONSE_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
TOKEN_EVENT = b'data: {"choices":[{"delta":{"content":"valve "}}]}\n\n'
DONE_EVENT = b'data: [DONE]\n\n'


def chunk(content: bytes) -> bytes:
    """Encode content as one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(content), content)


STREAM_END = b'%b0\r\n\r\n' % chunk(DONE_EVENT)


class TokenSender(asyncio.Protocol):
    """Answers each request on a connection with one token stream.

    A token is sent every `token_s` seconds.
    """

    def __init__(self, tokens: int, token_s: float) -> None:
        self._tokens = tokens
        self._token_s = token_s
        self._token_chunk = chunk(TOKEN_EVENT)
        self._received = b''
        self._remaining = 0
        self._due_s: float = 0
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Start a stream once a complete request has arrived."""
        self._received += received
        head, separator, body = self._received.partition(b'\r\n\r\n')
        if not separator or len(body) < _content_length(head):
            return
        self._received = b''
        self._remaining = self._tokens
        self._transport.write(RESPONSE_HEAD)
        self._due_s = self._loop.time()
        self._schedule_next()

    def _schedule_next(self) -> None:
        self._due_s += self._token_s
        self._loop.call_at(self._due_s, self._send)

    def _send(self) -> None:
        if self._transport.is_closing():
            return
        if not self._remaining:
            self._transport.write(STREAM_END)
            return
        self._remaining -= 1
        self._transport.write(self._token_chunk)
        self._schedule_next()


def _content_length(head: bytes) -> int:
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
    """Serve until interrupted."""
    gc.disable()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(
            serve(address, int(port), int(tokens), float(token_ms) / MS_PER_S)
        )


if __name__ == '__main__':
    main(*sys.argv[1:])
