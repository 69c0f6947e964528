"""HTTP server that all fake servers are built on."""

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
    """A parsed HTTP request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WebReply:
    """An HTTP reply; a bytes body has a Content-Length, others are streamed."""

    body: bytes | Iterable[bytes]
    status: int = 200
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()


class DroppedReplyError(Exception):
    """A handler executed the request but its reply must be dropped."""


class ReplyDroppingGateway(wsgi.Gateway_10):
    """Closes the connection when a handler raises DroppedReplyError."""

    def respond(self) -> None:
        """Send the reply, or close the connection before the first byte."""
        try:
            super().respond()
        except DroppedReplyError:
            self.req.close_connection = True
            self.req.sent_headers = True
            self.req.conn.socket.shutdown(socket.SHUT_RDWR)


WebHandler = Callable[[WebRequest], WebReply]


def json_reply(content: Any, status: int = 200) -> WebReply:
    """Return a reply with the content encoded as JSON."""
    return WebReply(msgspec.json.encode(content), status)


class WebServer:
    """Runs an HTTP server with one handler in the background."""

    def __init__(
        self, address: str, port: int, handler: WebHandler, threads: int = 32
    ) -> None:
        self._handler = handler
        self._server = wsgi.Server(
            (address, port), self._respond, numthreads=threads, timeout=30
        )
        self._server.shutdown_timeout = 0.2
        self._server.gateway = ReplyDroppingGateway
        self.address = address
        self.stopping = threading.Event()

    @property
    def port(self) -> int:
        """Return the bound port."""
        return int(self._server.bind_addr[1])

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://{self.address}:{self.port}'

    def start(self) -> None:
        """Bind the port and start serving on a background thread."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Set `stopping`, so that stalled streams end, and stop the server."""
        self.stopping.set()
        self._server.stop()

    def _respond(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        reply = self._handler(_parse_request(environ))
        headers = [('Content-Type', reply.content_type), *reply.headers]
        if isinstance(reply.body, bytes):
            headers.append(('Content-Length', str(len(reply.body))))
        start_response(STATUS_LINES[reply.status], headers)
        return (reply.body,) if isinstance(reply.body, bytes) else reply.body


def _parse_request(environ: dict[str, Any]) -> WebRequest:
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
