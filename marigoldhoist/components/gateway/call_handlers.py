"""Handlers of calls from callers and from other daemons."""

from collections.abc import Callable

from marigoldhoist.components.gateway import handover_headers
from marigoldhoist.components.gateway.caller import CallerConnection
from marigoldhoist.components.gateway.context import GatewayContext
from marigoldhoist.components.gateway.events import UPLOAD_REFUSED
from marigoldhoist.components.gateway.exchange import Exchange
from marigoldhoist.components.gateway.messages import (
    CLOSE_HEADER,
    MessageHead,
)
from marigoldhoist.components.gateway.models import Call
from marigoldhoist.components.gateway.upload_policy import NO_ROOM_MESSAGE
from marigoldhoist.components.handover.models import Handover
from marigoldhoist.core.body import Body
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.events import emit


class CallHandlers:
    """Serves calls; connections are not kept once `is_stopping` is true."""

    def __init__(
        self, context: GatewayContext, is_stopping: Callable[[], bool]
    ) -> None:
        self._context = context
        self._is_stopping = is_stopping

    def admit(self, head: MessageHead) -> str | RequestFailure:
        """Return the workspace of an upload, or why its head is refused.

        The whole call is admitted again, as the configuration may change
        while the body comes.
        """
        call = self._parse(head)
        if isinstance(call, RequestFailure):
            return call
        admitted = self._context.admission.admit(call)
        if isinstance(admitted, RequestFailure):
            return admitted
        return admitted.workspace.name if admitted.workspace else ''

    def no_room(
        self, head: MessageHead | None, after_s: float
    ) -> RequestFailure:
        """Return the failure of an upload for which no memory is left."""
        call = self._parse(head) if head else None
        time_left_s = call.time_allowed_s if isinstance(call, Call) else None
        return self._context.admission.refusal(
            ErrorCode.OVERLOADED, NO_ROOM_MESSAGE, time_left_s, after_s
        )

    def refuse(self, head: MessageHead, failure: RequestFailure) -> bytes:
        """Record a refused upload and return the serialized response."""
        call = self._parse(head)
        call_id = call.request_id if isinstance(call, Call) else ''
        emit(
            UPLOAD_REFUSED,
            request_id=call_id,
            code=failure.code.value,
            reason=failure.message,
            retry_after_s=failure.retry_after_s,
            announced_bytes=head.content_length,
            **self._context.admission.configuration_fields(),
        )
        self._context.metrics.uploads_refused.labels(failure.code.value).inc()
        return self._context.dialect.failure_response(
            call_id, failure, [CLOSE_HEADER]
        )

    def _parse(self, head: MessageHead) -> Call | RequestFailure:
        return self._context.dialect.parse_call(head, SYSTEM_CLOCK.boottime_s())

    async def serve_caller(
        self, connection: CallerConnection, head: MessageHead, body: Body
    ) -> bool:
        """Serve a caller's call; return whether to keep the connection."""
        return await self._serve(connection, head, body, None)

    async def serve_handover(
        self, connection: CallerConnection, head: MessageHead, body: Body
    ) -> bool:
        """Serve a call that another daemon handed to this one."""
        handover = handover_headers.parse_handover(head)
        head.headers = handover_headers.without_handover(head.headers)
        return await self._serve(connection, head, body, handover)

    async def _serve(
        self,
        connection: CallerConnection,
        head: MessageHead,
        body: Body,
        handover: Handover | None,
    ) -> bool:
        dialect = self._context.dialect
        call = self._parse(head)
        if isinstance(call, RequestFailure):
            await connection.write(dialect.failure_response('', call))
            return False
        call.body = body
        exchange = Exchange(
            call,
            connection,
            self._context,
            should_close=self._is_stopping() or not head.is_keep_alive,
            handover=handover,
        )
        return await exchange.run()
