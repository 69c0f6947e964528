"""Load generator that sends chats, sessions, orders and stock requests."""

import dataclasses
import random
import threading
import time
from collections.abc import Callable, Iterator

import urllib3

from tools.demo.balancer import Balancer, CallerPool
from tools.demo.const import MAX_RESENDS, ORDER_PATH, PAUSE_S, SERVICE, SESSIONS
from tools.demo.plan import WORKSPACE_KEYS
from tools.world.caller import Caller, CallerReply
from tools.world.request_ids import new_uuid7

RETRY_STATUSES = frozenset((429, 500, 502, 503, 504))
HTTP_OK = 200


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request and its outcome as its caller knows them.

    `outcome` is 'answered', the verdict of an error reply, or 'lost'.
    `is_own_answer` tells whether the answer contains the request's own id;
    `ended_s` is a Unix time.
    """

    kind: str
    workspace: str
    request_id: str
    session: str = ''
    served_version: str = ''
    outcome: str = 'lost'
    is_own_answer: bool = True
    ended_s: float = 0
    sends: int = 0


Send = Callable[[Caller], CallerReply]


class LoadCaller:
    """Sends random requests from one thread."""

    def __init__(self, balancer: Balancer, seed: int) -> None:
        self._balancer = balancer
        self._pool = CallerPool(balancer)
        self._rng = random.Random(seed)
        self.sent: list[SentRequest] = []

    def run(self, stopping: threading.Event) -> None:
        """Send one request after another until `stopping` is set."""
        while not stopping.wait(self._rng.uniform(0, PAUSE_S)):
            request = self._next_request()
            self.sent.append(request)
            self._execute(request)
            request.ended_s = time.time()

    def _next_request(self) -> SentRequest:
        workspace = self._rng.choice(sorted(WORKSPACE_KEYS))
        kind = self._rng.choices(
            ('chat', 'session', 'order', 'stock'), (40, 35, 15, 10)
        )[0]
        session = ''
        if kind == 'session':
            session = f'director-{self._rng.randrange(SESSIONS)}'
        return SentRequest(kind, workspace, new_uuid7(), session)

    def _execute(self, request: SentRequest) -> None:
        hosts = self._balancer.pick(2)
        is_duplicated = request.kind == 'order' and self._rng.random() < 1 / 4
        if is_duplicated:
            duplicate = threading.Thread(
                target=self._send_until_answered, args=(request, hosts[1:])
            )
            duplicate.start()
            self._send_until_answered(request, hosts[:1])
            duplicate.join()
        else:
            self._send_until_answered(request, hosts[:1])

    def _send_until_answered(
        self, request: SentRequest, first_hosts: list[str]
    ) -> None:
        for host in self._hosts_to_try(first_hosts):
            caller = self._pool.caller(host, WORKSPACE_KEYS[request.workspace])
            if caller is not None and self._send_once(request, caller):
                return

    def _hosts_to_try(self, first_hosts: list[str]) -> Iterator[str]:
        yield from first_hosts
        for _ in range(MAX_RESENDS):
            time.sleep(PAUSE_S)
            yield from self._balancer.pick()

    def _send_once(self, request: SentRequest, caller: Caller) -> bool:
        request.sends += 1
        try:
            reply = _send(request, caller)
        except urllib3.exceptions.HTTPError:
            return False
        return _record_reply(request, reply)


def _send(request: SentRequest, caller: Caller) -> CallerReply:
    headers = {'X-Request-Id': request.request_id}
    if request.session:
        headers['X-Session'] = request.session
    if request.kind == 'order':
        return caller.call_service(ORDER_PATH, headers)
    if request.kind == 'stock':
        return caller.call_service(f'{SERVICE}/stock', headers)
    return caller.chat(headers=headers, max_tokens=15)


def _record_reply(request: SentRequest, reply: CallerReply) -> bool:
    """Record a reply; return False if the caller should send again."""
    if reply.status == HTTP_OK:
        is_chat = request.kind in {'chat', 'session'}
        if is_chat and not reply.is_complete_stream:
            return False
        request.is_own_answer = request.request_id.encode() in reply.body
        request.served_version = reply.served_version
        request.outcome = 'answered'
        return True
    if request.outcome != 'answered':
        request.outcome = reply.verdict or 'lost'
    return reply.status not in RETRY_STATUSES
