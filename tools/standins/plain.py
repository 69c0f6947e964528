"""A plain service, such as booking or stock."""

import dataclasses
import threading
import time

import msgspec

from tools.standins.web import (
    LostAnswerError,
    WebReply,
    WebRequest,
    WebServer,
    json_reply,
)


class PlainFaults(msgspec.Struct):
    """Faults of a plain service."""

    lose_answer: bool = False
    delay_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunCall:
    """A call that the service carried out, for tests to count."""

    request_id: str
    path: str


class PlainServer:
    """Carries out every call and remembers it."""

    def __init__(self, address: str, port: int) -> None:
        self.faults = PlainFaults()
        self.calls: list[RunCall] = []
        self._lock = threading.Lock()
        self.server = WebServer(address, port, self.handle)

    def handle(self, request: WebRequest) -> WebReply:
        """Answer one request."""
        if request.path == '/faults':
            self.faults = msgspec.json.decode(request.body, type=PlainFaults)
            return json_reply(self.faults)
        if request.path == '/calls':
            return json_reply(self.calls)
        if request.path == '/load':
            return json_reply({'running': 0, 'slots': 8})
        request_id = request.headers.get('x-request-id', '')
        with self._lock:
            self.calls.append(RunCall(request_id, request.path))
        time.sleep(self.faults.delay_s)
        if self.faults.lose_answer:
            raise LostAnswerError('told to lose the answer')
        return json_reply({'done': request.path, 'request_id': request_id})
