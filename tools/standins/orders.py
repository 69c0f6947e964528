"""An engine's handling of orders, with fencing obeyed or ignored."""

import threading

import msgspec

from marigoldhoist.components.leases.order_models import (
    EngineOrder,
    OrderReply,
)
from tools.standins.web import WebReply, WebRequest, json_reply

CONFLICT = 409


class OrderDesk:
    """Takes orders, and remembers the highest fencing number."""

    def __init__(self) -> None:
        self.taken: list[EngineOrder] = []
        self._highest_fence = -1
        self._lock = threading.Lock()

    def handle(self, request: WebRequest, is_fencing_ignored: bool) -> WebReply:
        """Answer a probe or take an order."""
        with self._lock:
            if request.method != 'POST':
                return json_reply(self._reply(True, is_fencing_ignored))
            order = msgspec.json.decode(request.body, type=EngineOrder)
            is_old = order.fence < self._highest_fence
            if is_old and not is_fencing_ignored:
                return json_reply(self._reply(False, False), CONFLICT)
            self._highest_fence = max(self._highest_fence, order.fence)
            self.taken.append(order)
            return json_reply(self._reply(True, is_fencing_ignored))

    def _reply(self, is_taken: bool, is_fencing_ignored: bool) -> OrderReply:
        return OrderReply(
            is_taken,
            checks_fence=not is_fencing_ignored,
            highest_fence=self._highest_fence,
        )
