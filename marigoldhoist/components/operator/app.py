"""The WSGI application that operators talk to."""

import dataclasses
import hmac
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from marigoldhoist.components.entry.credentials import key_digest
from marigoldhoist.components.entry.reader import Environ, bearer_key
from marigoldhoist.components.operator.settings import OperatorSettings

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

OK = '200 OK'
BAD_REQUEST = '400 Bad Request'
UNAUTHORIZED = '401 Unauthorized'
NOT_FOUND = '404 Not Found'
UNAVAILABLE = '503 Service Unavailable'

JSON_TYPE = 'application/json'
TEXT_TYPE = 'text/plain; version=0.0.4'


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole answer."""

    body: bytes
    status: str = OK
    content_type: str = JSON_TYPE


RouteHandler = Callable[[bytes], HttpResponse]


def json_response(content: Any, status: str = OK) -> HttpResponse:
    """Encode a response as JSON."""
    return HttpResponse(msgspec.json.encode(content), status)


def error_response(message: str, status: str) -> HttpResponse:
    """Return a response that says what is wrong."""
    return json_response({'error': message}, status)


class OperatorApp:
    """Finds the handler of a method and path; keys are checked first."""

    def __init__(self, settings: OperatorSettings) -> None:
        self._settings = settings
        self._handler_by_route: dict[str, RouteHandler] = {}
        self._open_routes: set[str] = set()

    def add(
        self, route: str, handler: RouteHandler, *, is_open: bool = False
    ) -> None:
        """Serve a route such as `GET /status`; an open one needs no key."""
        self._handler_by_route[route] = handler
        if is_open:
            self._open_routes.add(route)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        response = self._answer(environ)
        headers = [
            ('Content-Type', response.content_type),
            ('Content-Length', str(len(response.body))),
        ]
        start_response(response.status, headers)
        return (response.body,)

    def _answer(self, environ: Environ) -> HttpResponse:
        route = f'{environ["REQUEST_METHOD"]} {environ["PATH_INFO"]}'
        handler = self._handler_by_route.get(route)
        if handler is None:
            return error_response(f'no such route: {route}', NOT_FOUND)
        if route not in self._open_routes and not self._is_operator(environ):
            return error_response('unknown operator key', UNAUTHORIZED)
        length = int(environ.get('CONTENT_LENGTH') or 0)
        body = environ['wsgi.input'].read(length) if length else b''
        try:
            return handler(body)
        except msgspec.MsgspecError as error:
            return error_response(str(error), BAD_REQUEST)

    def _is_operator(self, environ: Environ) -> bool:
        digest = key_digest(bearer_key(environ))
        return any(
            hmac.compare_digest(known, digest)
            for known in self._settings.key_digests
        )
