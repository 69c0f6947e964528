"""Authenticate callers' requests, route them and build the replies."""

import contextlib
import dataclasses
import threading
from collections.abc import Iterable, Iterator

import msgspec
from cheroot import server
from result import Err, Ok, Result

from marigoldhoist.components.dispatch.const import (
    CHAT_PATH,
    JSON_TYPE,
    REQUEST_ID_HEADER,
    VERDICT_HEADER,
    VERSION_HEADER,
)
from marigoldhoist.components.dispatch.service import DispatchService
from marigoldhoist.components.entry.const import (
    MODELS_PATH,
    OVERLOAD_RETRY_AFTER_S,
    SERVICE_PREFIX,
)
from marigoldhoist.components.entry.credentials import Credentials
from marigoldhoist.components.entry.models import (
    FailureBody,
    FailureDetail,
    ModelEntry,
    ModelList,
)
from marigoldhoist.components.entry.reader import (
    Environ,
    bearer_key,
    read_chat,
    read_service_call,
    service_name,
)
from marigoldhoist.components.entry.settings import EntrySettings
from marigoldhoist.components.entry.uploads import Upload
from marigoldhoist.components.intake.room import InputRoom
from marigoldhoist.components.sessions.const import TOKEN_HEADER
from marigoldhoist.components.table.models import WorkspaceRow
from marigoldhoist.components.table.service import TableService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest, CallerResponse


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """HTTP reply to a caller; the body may be produced while it is sent."""

    status: int
    headers: dict[str, str]
    body: Iterable[bytes]


Outcome = Result[Reply, RequestFailure]


class CallerApp:
    """Checks credentials, parses requests and passes them to dispatch."""

    def __init__(
        self,
        settings: EntrySettings,
        table: TableService,
        dispatch: DispatchService,
        room: InputRoom,
    ) -> None:
        self._settings = settings
        self._room = room
        self._table = table
        self._dispatch = dispatch
        self._credentials = Credentials()
        self.is_draining = False
        self.in_flight = 0
        self._lock = threading.Lock()

    @contextlib.contextmanager
    def track_in_flight(self) -> Iterator[None]:
        """Count a request as in flight while the block runs."""
        self._count(1)
        try:
            yield
        finally:
            self._count(-1)

    def handle(self, environ: Environ, upload: Upload) -> Reply:
        """Return the reply to a request; call it within `track_in_flight`."""
        outcome = self._respond(environ, upload)
        if isinstance(outcome, Err):
            return failure_reply(outcome.err_value)
        return outcome.ok_value

    @property
    def _is_full(self) -> bool:
        """Return whether no thread is left, also without stalled uploads."""
        return (
            self.in_flight > self._settings.max_requests
            and not self._room.try_evict(SYSTEM_CLOCK.monotonic_s())
        )

    def _count(self, change: int) -> None:
        with self._lock:
            self.in_flight += change

    def new_upload(self, request: server.HTTPRequest) -> Upload:
        """Return the unread body of a request; close it at its end."""
        return Upload(request, self._settings, self._room)

    def _respond(self, environ: Environ, upload: Upload) -> Outcome:
        if self.is_draining:
            return _refusal(ErrorCode.DRAINING, 'this daemon is stopping')
        if self._is_full:
            return Err(_overloaded())
        state = self._table.state
        if state.is_empty:
            return _refusal(ErrorCode.NO_TABLE, 'no table has been read yet')
        name = self._credentials.find_workspace(bearer_key(environ), state)
        workspace = state.workspace(name) if name else None
        if name is None or workspace is None:
            return _refusal(ErrorCode.UNAUTHORIZED, 'unknown key')
        body = upload.read(name)
        if isinstance(body, Err):
            return body
        return self._route(environ, name, workspace, body.ok_value)

    def _route(
        self,
        environ: Environ,
        name: str,
        workspace: WorkspaceRow,
        body: bytes,
    ) -> Outcome:
        path = environ['PATH_INFO']
        if path == CHAT_PATH:
            parsed = read_chat(environ, name, body)
            return parsed.and_then(self._chat)
        if path == MODELS_PATH:
            return Ok(_model_list(workspace))
        if path.startswith(SERVICE_PREFIX):
            return self._call_service(environ, name, workspace, body)
        return _refusal(ErrorCode.BAD_REQUEST, f'no such path: {path}')

    def _chat(self, request: CallerRequest) -> Outcome:
        return self._dispatch.chat(request).map(
            lambda answer: _answer_reply(request, answer)
        )

    def _call_service(
        self,
        environ: Environ,
        name: str,
        workspace: WorkspaceRow,
        body: bytes,
    ) -> Outcome:
        service = service_name(environ['PATH_INFO'])
        row = self._table.state.service(service)
        if row is None or service not in workspace.services:
            return _refusal(ErrorCode.UNKNOWN_SERVICE, f'no {service!r}')
        parsed = read_service_call(environ, name, row, body)
        if isinstance(parsed, Err):
            return parsed
        answered = self._dispatch.call_service(parsed.ok_value)
        return answered.map(
            lambda answer: _answer_reply(parsed.ok_value, answer)
        )


def failure_reply(failure: RequestFailure) -> Reply:
    """Return the JSON error reply for a failure."""
    detail = FailureDetail(
        code=failure.code.value,
        message=failure.message,
        verdict=failure.verdict.value,
    )
    headers = {
        'Content-Type': JSON_TYPE,
        VERDICT_HEADER: failure.verdict.value,
    }
    if failure.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, round(failure.retry_after_s)))
    body = msgspec.json.encode(FailureBody(detail))
    headers['Content-Length'] = str(len(body))
    return Reply(failure.http_status, headers, (body,))


def _overloaded() -> RequestFailure:
    return RequestFailure(
        ErrorCode.OVERLOADED,
        'this daemon runs as many requests as it may',
        retry_after_s=OVERLOAD_RETRY_AFTER_S,
    )


def _refusal(code: ErrorCode, message: str) -> Err[RequestFailure]:
    return Err(RequestFailure(code, message))


def _answer_reply(request: CallerRequest, answer: CallerResponse) -> Reply:
    headers = {
        'Content-Type': answer.content_type,
        REQUEST_ID_HEADER: request.request_id,
        VERSION_HEADER: answer.serving,
    }
    if answer.session_token:
        headers[TOKEN_HEADER] = answer.session_token
    return Reply(answer.status, headers, answer.body)


def _model_list(workspace: WorkspaceRow) -> Reply:
    models = tuple(ModelEntry(name) for name in workspace.versions_by_model)
    body = msgspec.json.encode(ModelList(models))
    headers = {'Content-Type': JSON_TYPE, 'Content-Length': str(len(body))}
    return Reply(200, headers, (body,))
