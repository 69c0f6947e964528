"""A small HTTP server that the stand-ins share."""

import dataclasses
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import msgspec
from cheroot import wsgi

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

STATUS_LINES = {
    200: '200 OK',
    400: '400 Bad Request',
    404: '404 Not Found',
    409: '409 Conflict',
    429: '429 Too Many Requests',
    500: '500 Internal Server Error',
    503: '503 Service Unavailable',
}


@dataclasses.dataclass(frozen=True, slots=True)
class WebRequest:
    """One request to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WebReply:
    """One answer of a stand-in; a body with a known length is whole."""

    body: bytes | Iterable[bytes]
    status: int = 200
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()


class LostAnswerError(Exception):
    """The stand-in acted but is told to lose its answer."""


class LosingGateway(wsgi.Gateway_10):
    """Cuts the connection where an answer is to be lost."""

    def respond(self) -> None:
        """Answer, or cut without a single byte."""
        try:
            super().respond()
        except LostAnswerError:
            self.req.close_connection = True
            self.req.sent_headers = True
            self.req.conn.socket.shutdown(socket.SHUT_RDWR)


WebHandler = Callable[[WebRequest], WebReply]


def json_reply(content: Any, status: int = 200) -> WebReply:
    """Encode a reply as JSON."""
    return WebReply(msgspec.json.encode(content), status)


class WebServer:
    """Serves one handler on a thread of its own."""

    def __init__(
        self, address: str, port: int, handler: WebHandler, threads: int = 32
    ) -> None:
        self._handler = handler
        self._server = wsgi.Server(
            (address, port), self._answer, numthreads=threads, timeout=30
        )
        self._server.shutdown_timeout = 0.2
        self._server.gateway = LosingGateway
        self.address = address
        self.stopping = threading.Event()

    @property
    def port(self) -> int:
        """Return the port that was bound."""
        return int(self._server.bind_addr[1])

    @property
    def url(self) -> str:
        """Return the base address."""
        return f'http://{self.address}:{self.port}'

    def start(self) -> None:
        """Begin to serve."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop serving."""
        self.stopping.set()
        self._server.stop()

    def _answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        reply = self._handler(_read(environ))
        headers = [('Content-Type', reply.content_type), *reply.headers]
        if isinstance(reply.body, bytes):
            headers.append(('Content-Length', str(len(reply.body))))
        start_response(STATUS_LINES[reply.status], headers)
        return (reply.body,) if isinstance(reply.body, bytes) else reply.body


def _read(environ: dict[str, Any]) -> WebRequest:
    length = int(environ.get('CONTENT_LENGTH') or 0)
    headers = {
        key.removeprefix('HTTP_').replace('_', '-').lower(): value
        for key, value in environ.items()
        if key.startswith('HTTP_')
    }
    query = parse_qs(environ.get('QUERY_STRING', ''))
    return WebRequest(
        method=environ['REQUEST_METHOD'],
        path=environ['PATH_INFO'],
        query={name: values[-1] for name, values in query.items()},
        headers=headers,
        body=environ['wsgi.input'].read(length) if length else b'',
    )
