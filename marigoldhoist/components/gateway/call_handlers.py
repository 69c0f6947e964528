"""Handlers of calls from callers and from other daemons."""

from collections.abc import Callable

from marigoldhoist.components.gateway import handover_headers
from marigoldhoist.components.gateway.caller import CallerConnection
from marigoldhoist.components.gateway.context import GatewayContext
from marigoldhoist.components.gateway.exchange import Exchange
from marigoldhoist.components.gateway.messages import (
    CLOSE_HEADER,
    MessageHead,
)
from marigoldhoist.components.handover.models import Handover
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.errors import RequestFailure


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
        call = self._context.dialect.parse_call(head, SYSTEM_CLOCK.boottime_s())
        if isinstance(call, RequestFailure):
            return call
        admitted = self._context.admission.admit(call)
        if isinstance(admitted, RequestFailure):
            return admitted
        return admitted.workspace.name if admitted.workspace else ''

    def refusal(self, head: MessageHead, failure: RequestFailure) -> bytes:
        """Return the serialized response to a refused upload."""
        dialect = self._context.dialect
        call = dialect.parse_call(head, SYSTEM_CLOCK.boottime_s())
        call_id = '' if isinstance(call, RequestFailure) else call.request_id
        return dialect.failure_response(call_id, failure, [CLOSE_HEADER])

    async def serve_caller(
        self, connection: CallerConnection, head: MessageHead, body: bytes
    ) -> bool:
        """Serve a caller's call; return whether to keep the connection."""
        return await self._serve(connection, head, body, None)

    async def serve_handover(
        self, connection: CallerConnection, head: MessageHead, body: bytes
    ) -> bool:
        """Serve a call that another daemon handed to this one."""
        handover = handover_headers.parse_handover(head)
        head.headers = handover_headers.without_handover(head.headers)
        return await self._serve(connection, head, body, handover)

    async def _serve(
        self,
        connection: CallerConnection,
        head: MessageHead,
        body: bytes,
        handover: Handover | None,
    ) -> bool:
        dialect = self._context.dialect
        call = dialect.parse_call(head, SYSTEM_CLOCK.boottime_s())
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
