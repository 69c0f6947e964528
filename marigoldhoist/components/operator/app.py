"""The WSGI application of the operator API."""

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
    """A complete response, held in memory."""

    body: bytes
    status: str = OK
    content_type: str = JSON_TYPE


RouteHandler = Callable[[bytes], HttpResponse]


def json_response(content: Any, status: str = OK) -> HttpResponse:
    """Return a response with JSON-encoded content."""
    return HttpResponse(msgspec.json.encode(content), status)


def error_response(message: str, status: str) -> HttpResponse:
    """Return a JSON response that holds an error message."""
    return json_response({'error': message}, status)


class OperatorApp:
    """Routes requests to handlers; checks the operator key before the call."""

    def __init__(self, settings: OperatorSettings) -> None:
        self._settings = settings
        self._handler_by_route: dict[str, RouteHandler] = {}
        self._public_routes: set[str] = set()

    def add(
        self, route: str, handler: RouteHandler, *, is_public: bool = False
    ) -> None:
        """Add a route such as `GET /status`; a public one needs no key."""
        self._handler_by_route[route] = handler
        if is_public:
            self._public_routes.add(route)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request, as WSGI defines."""
        response = self._respond(environ)
        headers = [
            ('Content-Type', response.content_type),
            ('Content-Length', str(len(response.body))),
        ]
        start_response(response.status, headers)
        return (response.body,)

    def _respond(self, environ: Environ) -> HttpResponse:
        route = f'{environ["REQUEST_METHOD"]} {environ["PATH_INFO"]}'
        handler = self._handler_by_route.get(route)
        if handler is None:
            return error_response(f'no such route: {route}', NOT_FOUND)
        if route not in self._public_routes and not self._is_operator(environ):
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
