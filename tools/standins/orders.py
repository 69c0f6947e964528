"""The fake engine's order endpoint, with optional fencing checks."""

import threading

import msgspec

from marigoldhoist.components.leases.order_models import (
    EngineOrder,
    OrderReply,
)
from tools.standins.web import WebReply, WebRequest, json_reply

OK = 200
CONFLICT = 409


class OrderEndpoint:
    """Accepts orders and tracks the highest fencing token."""

    def __init__(self) -> None:
        self.accepted: list[EngineOrder] = []
        self._highest_fence = -1
        self._lock = threading.Lock()

    def handle(self, request: WebRequest, is_fencing_ignored: bool) -> WebReply:
        """Handle a POST request as an order, any other as a probe."""
        if request.method != 'POST':
            return json_reply(self._reply(True, is_fencing_ignored))
        order = msgspec.json.decode(request.body, type=EngineOrder)
        reply = self.accept(order, is_fencing_ignored)
        return json_reply(reply, OK if reply.is_taken else CONFLICT)

    def accept(
        self, order: EngineOrder, is_fencing_ignored: bool
    ) -> OrderReply:
        """Accept an order unless its fencing token is stale."""
        with self._lock:
            is_stale = order.fence < self._highest_fence
            if is_stale and not is_fencing_ignored:
                return self._reply(False, False)
            self._highest_fence = max(self._highest_fence, order.fence)
            self.accepted.append(order)
            return self._reply(True, is_fencing_ignored)

    def _reply(self, is_taken: bool, is_fencing_ignored: bool) -> OrderReply:
        return OrderReply(
            is_taken,
            checks_fence=not is_fencing_ignored,
            highest_fence=self._highest_fence,
        )
