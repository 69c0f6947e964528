"""Fake plain service (not a model engine), such as booking or stock."""

import dataclasses
import threading
import time

import msgspec

from tools.standins.web import (
    DroppedReplyError,
    WebReply,
    WebRequest,
    WebServer,
    json_reply,
)


class PlainFaults(msgspec.Struct):
    """Injected faults.

    `lose_answer` closes the connection after the call was executed, without
    a reply. `delay_s` is the duration of a call.
    """

    lose_answer: bool = False
    delay_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutedCall:
    """A call that the service executed; tests count them."""

    request_id: str
    path: str


class PlainServer:
    """Executes every call and records it in `calls`."""

    def __init__(self, address: str, port: int) -> None:
        self.faults = PlainFaults()
        self.calls: list[ExecutedCall] = []
        self._lock = threading.Lock()
        self.server = WebServer(address, port, self.handle)

    def handle(self, request: WebRequest) -> WebReply:
        """Handle one HTTP request."""
        if request.path == '/faults':
            self.faults = msgspec.json.decode(request.body, type=PlainFaults)
            return json_reply(self.faults)
        if request.path == '/calls':
            return json_reply(self.calls)
        if request.path == '/load':
            return json_reply({'running': 0, 'slots': 8})
        request_id = request.headers.get('x-request-id', '')
        with self._lock:
            self.calls.append(ExecutedCall(request_id, request.path))
        time.sleep(self.faults.delay_s)
        if self.faults.lose_answer:
            raise DroppedReplyError('injected fault: reply dropped')
        return json_reply({'done': request.path, 'request_id': request_id})
