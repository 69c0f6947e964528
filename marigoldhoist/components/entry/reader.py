"""Parse a caller's HTTP request into a CallerRequest."""

import dataclasses
import uuid
from typing import Any

import msgspec
from result import Err, Ok, Result

from marigoldhoist.components.entry.const import (
    BEARER,
    MAX_REQUEST_ID_CHARS,
    MAX_TASK_CHARS,
    SERVICE_PREFIX,
)
from marigoldhoist.components.entry.models import ChatBody
from marigoldhoist.components.table.models import ServiceRow
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.decoding import decode_json, parse_integer
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest

Environ = dict[str, Any]

DEFAULT_DEADLINE_MS = 60_000


def bearer_key(environ: Environ) -> str:
    """Return the key of a bearer Authorization header, or an empty string."""
    header: str = environ.get('HTTP_AUTHORIZATION', '')
    return header.removeprefix(BEARER) if header.startswith(BEARER) else ''


def read_chat(
    environ: Environ, workspace: str, body: bytes
) -> Result[CallerRequest, RequestFailure]:
    """Parse a chat completion request."""
    try:
        chat = decode_json(body, ChatBody)
    except msgspec.MsgspecError as error:
        return _bad_request(f'body: {error}')
    return _deadline_ms(environ).and_then(
        lambda deadline_ms: _with_request_id(
            environ,
            CallerRequest(
                workspace=workspace,
                request_id='',
                target=chat.model,
                body=body,
                deadline_s=_deadline_s(deadline_ms),
                session=environ.get('HTTP_X_SESSION', ''),
                task=environ.get('HTTP_X_TASK', '')[:MAX_TASK_CHARS],
                session_token=environ.get('HTTP_X_SESSION_TOKEN', ''),
                is_streamed=chat.stream,
            ),
        )
    )


def service_name(path: str) -> str:
    """Return the name of the plain service in a request path."""
    return path.removeprefix(SERVICE_PREFIX).partition('/')[0]


def read_service_call(
    environ: Environ, workspace: str, row: ServiceRow, body: bytes
) -> Result[CallerRequest, RequestFailure]:
    """Parse a call to a plain service."""
    path: str = environ['PATH_INFO']
    name = service_name(path)
    service_path = path.removeprefix(SERVICE_PREFIX + name) or '/'
    query = environ.get('QUERY_STRING', '')
    has_header = environ.get('HTTP_X_NOT_REPEATABLE', '') == 'true'
    is_listed = any(
        service_path.startswith(prefix) for prefix in row.non_repeatable_paths
    )
    request = CallerRequest(
        workspace=workspace,
        request_id='',
        target=name,
        body=body,
        deadline_s=_deadline_s(row.timeout_ms),
        is_repeatable=not (has_header or is_listed),
        method=environ['REQUEST_METHOD'],
        path=f'{service_path}?{query}' if query else service_path,
        content_type=environ.get('CONTENT_TYPE', 'application/json'),
    )
    return _with_request_id(environ, request)


def _with_request_id(
    environ: Environ, request: CallerRequest
) -> Result[CallerRequest, RequestFailure]:
    given: str = environ.get('HTTP_X_REQUEST_ID', '')
    if len(given) > MAX_REQUEST_ID_CHARS or not given.isprintable():
        return _bad_request('X-Request-Id is too long or not printable')
    if not given and not request.is_repeatable:
        return _bad_request('X-Request-Id is needed for a call that runs once')
    request_id = given or uuid.uuid4().hex
    return Ok(dataclasses.replace(request, request_id=request_id))


def _deadline_ms(environ: Environ) -> Result[int, RequestFailure]:
    given = environ.get('HTTP_X_DEADLINE_MS')
    if given is None:
        return Ok(DEFAULT_DEADLINE_MS)
    deadline_ms = parse_integer(given)
    if not deadline_ms:
        return _bad_request('X-Deadline-Ms must be a whole number above 0')
    return Ok(min(deadline_ms, DEFAULT_DEADLINE_MS))


def _deadline_s(deadline_ms: float) -> float:
    return SYSTEM_CLOCK.monotonic_s() + deadline_ms / MS_PER_S


def _bad_request(message: str) -> Err[RequestFailure]:
    return Err(RequestFailure(ErrorCode.BAD_REQUEST, message))
