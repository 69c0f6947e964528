"""Fake model engine with batching, stream resumption and injected faults."""

import dataclasses
import threading
import time
from collections.abc import Iterator
from typing import Any, Final

import msgspec

from tools.standins.batch import SLOTS, Batch
from tools.standins.orders import OrderEndpoint
from tools.standins.web import WebReply, WebRequest, WebServer, json_reply

EVENT_STREAM = 'text/event-stream'
MS_PER_S = 1000
MAX_SILENCE_S = 3600


# Body of the response to a stream that the engine does not resume.
REJECTION: Final = b'too many requests'


class EngineFaults(msgspec.Struct):
    """Injected faults; zero and false mean none.

    `doubt_by_serving` maps 'model/version' to the doubt that its answers
    report.
    """

    closes_connections: bool = False
    fail_all: bool = False
    cut_after_tokens: int = 0
    silent_after_tokens: int = 0
    is_fencing_ignored: bool = False
    is_leaving: bool = False
    is_resume_ignored: bool = False
    is_resume_rejected: bool = False
    late_first_token_s: float = 0
    load_lag_s: float = 0
    doubt_by_serving: dict[str, float] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class ServedRequest:
    """A chat request that the engine accepted; tests count them."""

    time_s: float
    request_id: str
    serving: str
    resume_from: int = 0
    priority: int = 0


class ChatRequest(msgspec.Struct):
    """The fields of a chat request that the fake engine uses."""

    model: str
    messages: list[dict[str, Any]] = []
    stream: bool = False
    max_tokens: int = 20


class EngineServer:
    """Answers chat requests with words that hold request id and number."""

    def __init__(
        self,
        address: str,
        port: int,
        token_time_s: float = 0.002,
        first_token_s: float = 0.01,
    ) -> None:
        self.faults = EngineFaults()
        self.orders = OrderEndpoint()
        self.served: list[ServedRequest] = []
        self._token_time_s = token_time_s
        self._first_token_s = first_token_s
        self.cancelled: set[str] = set()
        self.failed = 0
        self._lock = threading.Lock()
        self._batch = Batch()
        self.server = WebServer(address, port, self.handle, threads=64)

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return self._batch.lagged_counts(0).running

    def handle(self, request: WebRequest) -> WebReply:
        """Handle one HTTP request."""
        match request.path:
            case '/faults':
                return self._set_faults(request)
            case '/served':
                return json_reply(self.served)
            case '/load':
                return self._load()
            case '/cancel':
                return self._cancel(request)
            case '/orders':
                ignored = self.faults.is_fencing_ignored
                return self.orders.handle(request, ignored)
            case '/v1/chat/completions':
                return self._chat(request)
        return json_reply({'error': 'no such path'}, 404)

    def _set_faults(self, request: WebRequest) -> WebReply:
        self.faults = msgspec.json.decode(request.body, type=EngineFaults)
        return json_reply(self.faults)

    def _load(self) -> WebReply:
        counts = self._batch.lagged_counts(self.faults.load_lag_s)
        return json_reply(
            {
                'running': counts.running,
                'waiting': counts.waiting,
                'slots': SLOTS,
                'age_ms': int(self.faults.load_lag_s * MS_PER_S),
                'leaving': self.faults.is_leaving,
            }
        )

    def _cancel(self, request: WebRequest) -> WebReply:
        fields = msgspec.json.decode(request.body)
        with self._lock:
            self.cancelled.add(fields['request_id'])
        return json_reply({})

    def _chat(self, request: WebRequest) -> WebReply:
        chat = msgspec.json.decode(request.body, type=ChatRequest)
        if self.faults.is_leaving:
            return WebReply(b'', 503, headers=(('X-Leaving', 'true'),))
        if self.faults.fail_all:
            self.failed += 1
            return json_reply({'error': 'engine failed'}, 500)
        request_id = request.headers.get('x-request-id', '')
        resume_from = 0
        if not self.faults.is_resume_ignored:
            resume_from = int(request.headers.get('x-resume-from', 0))
        if resume_from and self.faults.is_resume_rejected:
            headers = self._stream_headers(resume_from)
            return WebReply(iter((REJECTION,)), 429, 'text/plain', headers)
        served = ServedRequest(
            time_s=time.time(),
            request_id=request_id,
            serving=chat.model,
            resume_from=resume_from,
            priority=int(request.headers.get('x-priority', 0)),
        )
        with self._lock:
            self.served.append(served)
        words = [f'{request_id}:{number} ' for number in range(chat.max_tokens)]
        if chat.stream:
            headers = self._stream_headers(resume_from)
            body = self._stream(chat, served, words)
            return WebReply(body, 200, EVENT_STREAM, headers)
        self._batch.enter(served.priority)
        time.sleep(self._first_token_s + self._token_time_s * len(words))
        self._batch.leave()
        return json_reply(chat_completion(chat, words) | self._doubt(chat))

    def _stream_headers(self, resume_from: int) -> tuple[tuple[str, str], ...]:
        resumed = ('X-Resumed-From', str(resume_from))
        if self.faults.closes_connections:
            return (resumed, ('Connection', 'close'))
        return (resumed,)

    def _event_content(
        self, chat: ChatRequest, word: str, is_last: bool
    ) -> dict[str, Any]:
        content = {'choices': [{'delta': {'content': word}}]}
        return content | self._doubt(chat) if is_last else content

    def _doubt(self, chat: ChatRequest) -> dict[str, Any]:
        doubt = self.faults.doubt_by_serving.get(chat.model)
        return {} if doubt is None else {'doubt': doubt}

    def _stream(
        self, chat: ChatRequest, served: ServedRequest, words: list[str]
    ) -> Iterator[bytes]:
        self._batch.enter(served.priority)
        try:
            time.sleep(self._first_token_s + self.faults.late_first_token_s)
            yield from self._word_events(chat, served, words)
        finally:
            self._batch.leave()

    def _word_events(
        self, chat: ChatRequest, served: ServedRequest, words: list[str]
    ) -> Iterator[bytes]:
        for number, word in enumerate(words, start=1):
            if number <= served.resume_from:
                continue
            if served.request_id in self.cancelled:
                return
            is_last = number == len(words)
            yield encode_event(self._event_content(chat, word, is_last))
            if number == self.faults.cut_after_tokens:
                raise ConnectionResetError('injected fault: stream cut')
            if number == self.faults.silent_after_tokens:
                self.server.stopping.wait(MAX_SILENCE_S)
                return
            time.sleep(self._token_time_s * self._batch.slowdown())
        yield b'data: [DONE]\n\n'


def encode_event(content: Any) -> bytes:
    """Encode one server-sent event."""
    return b'data: %b\n\n' % msgspec.json.encode(content)


def chat_completion(chat: ChatRequest, words: list[str]) -> dict[str, Any]:
    """Return the body of an unstreamed chat completion."""
    message = {'role': 'assistant', 'content': ''.join(words)}
    return {
        'model': chat.model,
        'choices': [{'index': 0, 'message': message}],
        'usage': {'completion_tokens': len(words)},
    }
