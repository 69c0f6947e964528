"""An engine's handling of orders, with fencing obeyed or ignored."""

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
    """Takes orders, and remembers the highest fencing number."""

    def __init__(self) -> None:
        self.accepted: list[EngineOrder] = []
        self._highest_fence = -1
        self._lock = threading.Lock()

    def handle(self, request: WebRequest, is_fencing_ignored: bool) -> WebReply:
        """Answer a probe or take an order."""
        if request.method != 'POST':
            return json_reply(self._reply(True, is_fencing_ignored))
        order = msgspec.json.decode(request.body, type=EngineOrder)
        reply = self.accept(order, is_fencing_ignored)
        return json_reply(reply, OK if reply.is_taken else CONFLICT)

    def accept(
        self, order: EngineOrder, is_fencing_ignored: bool
    ) -> OrderReply:
        """Take an order unless it is refused for its fencing number."""
        with self._lock:
            is_old = order.fence < self._highest_fence
            if is_old and not is_fencing_ignored:
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
