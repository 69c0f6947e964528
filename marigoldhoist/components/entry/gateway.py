"""Send replies to callers: whole ones at once, streams as they come."""

import contextlib
import http.client
from typing import Any

from cheroot import wsgi

from marigoldhoist.components.dispatch.bodies import StreamBody
from marigoldhoist.components.dispatch.errors import AnswerCutError
from marigoldhoist.components.entry.app import (
    CallerApp,
    Reply,
    failure_reply,
)
from marigoldhoist.components.entry.const import EVENT_STREAM_TYPE
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.verdict import Verdict


class CallerGateway(wsgi.Gateway_10):
    """Answers one request of a caller's connection."""

    def __init__(self, app: CallerApp, request: Any) -> None:
        super().__init__(request)
        self._app = app

    def respond(self) -> None:
        """Answer the request; the connection closes after a cut answer."""
        # What follows a chunked upload is not read, so nothing may.
        if self.req.chunked_read:
            self.req.close_connection = True
        with self._app.counted():
            reply = self._app.answer(self.env)
            self._close_after_unread_body()
            if _is_stream(reply):
                self._send_stream(reply)
            else:
                self._send_whole(reply)

    def _close_after_unread_body(self) -> None:
        # cheroot would wait for the rest of the body before it answers.
        if getattr(self.req.rfile, 'remaining', 0):
            self.req.close_connection = True

    def _send_whole(self, reply: Reply) -> None:
        try:
            body = b''.join(reply.body)
        except AnswerCutError as error:
            reply = failure_reply(_cut(error))
            body = b''.join(reply.body)
        self._begin(reply, {'Content-Length': str(len(body))})
        self.req.write(body)

    def _send_stream(self, reply: Reply) -> None:
        with contextlib.ExitStack() as ending:
            if isinstance(reply.body, StreamBody):
                ending.callback(reply.body.close)
            self._begin(reply, {})
            if isinstance(reply.body, StreamBody) and self.req.chunked_write:
                self._relay(reply.body)
            else:
                self._iterate(reply)

    def _relay(self, body: StreamBody) -> None:
        # The body sends its own chunks and its last one.
        self.req.chunked_write = False
        if not body.relay(self.req.conn.socket):
            self.req.close_connection = True

    def _iterate(self, reply: Reply) -> None:
        try:
            for chunk in reply.body:
                self.req.write(chunk)
        except AnswerCutError:
            self.req.chunked_write = False
            self.req.close_connection = True

    def _begin(self, reply: Reply, added: dict[str, str]) -> None:
        reason = http.client.responses.get(reply.status, '')
        self.req.status = f'{reply.status} {reason}'.encode('ascii')
        self.req.outheaders = [
            (name.encode('latin-1'), shown.encode('latin-1'))
            for name, shown in (reply.headers | added).items()
        ]
        self.req.ensure_headers_sent()


def _is_stream(reply: Reply) -> bool:
    return reply.headers.get('Content-Type', '').startswith(EVENT_STREAM_TYPE)


def _cut(error: AnswerCutError) -> RequestFailure:
    return RequestFailure(
        ErrorCode.UPSTREAM_CUT, str(error), Verdict.MAY_HAVE_RUN
    )
