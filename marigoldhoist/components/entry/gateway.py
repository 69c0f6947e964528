"""Write replies to callers' connections, buffered or streamed."""

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
    """Handles one request on a caller's connection."""

    def __init__(self, app: CallerApp, request: Any) -> None:
        super().__init__(request)
        self._app = app

    def respond(self) -> None:
        """Send the reply; close the connection if a stream breaks off."""
        # Bytes after a chunked request body are not read, so the connection
        # cannot carry another request.
        if self.req.chunked_read:
            self.req.close_connection = True
        upload = self._app.new_upload(self.req)
        with self._app.track_in_flight(), contextlib.closing(upload):
            reply = self._app.handle(self.env, upload)
            self._close_after_unread_body()
            if _is_stream(reply):
                self._send_stream(reply)
            else:
                self._send_buffered(reply)

    def _close_after_unread_body(self) -> None:
        # On a connection that stays open, cheroot reads the rest of the body
        # before it sends the reply.
        if getattr(self.req.rfile, 'remaining', 0):
            self.req.close_connection = True

    def _send_buffered(self, reply: Reply) -> None:
        try:
            body = b''.join(reply.body)
        except AnswerCutError as error:
            reply = failure_reply(_upstream_cut(error))
            body = b''.join(reply.body)
        self._send_head(reply, {'Content-Length': str(len(body))})
        self.req.write(body)

    def _send_stream(self, reply: Reply) -> None:
        with contextlib.ExitStack() as cleanup:
            if isinstance(reply.body, StreamBody):
                cleanup.callback(reply.body.close)
            self._send_head(reply, {})
            if isinstance(reply.body, StreamBody) and self.req.chunked_write:
                self._relay(reply.body)
            else:
                self._write_chunks(reply)

    def _relay(self, body: StreamBody) -> None:
        # StreamBody frames the chunks itself, including the last chunk.
        self.req.chunked_write = False
        if not body.relay(self.req.conn.socket):
            self.req.close_connection = True

    def _write_chunks(self, reply: Reply) -> None:
        try:
            for chunk in reply.body:
                self.req.write(chunk)
        except AnswerCutError:
            self.req.chunked_write = False
            self.req.close_connection = True

    def _send_head(self, reply: Reply, extra_headers: dict[str, str]) -> None:
        reason = http.client.responses.get(reply.status, '')
        self.req.status = f'{reply.status} {reason}'.encode('ascii')
        self.req.outheaders = [
            (name.encode('latin-1'), content.encode('latin-1'))
            for name, content in (reply.headers | extra_headers).items()
        ]
        self.req.ensure_headers_sent()


def _is_stream(reply: Reply) -> bool:
    return reply.headers.get('Content-Type', '').startswith(EVENT_STREAM_TYPE)


def _upstream_cut(error: AnswerCutError) -> RequestFailure:
    return RequestFailure(
        ErrorCode.UPSTREAM_CUT, str(error), Verdict.MAY_HAVE_RUN
    )
