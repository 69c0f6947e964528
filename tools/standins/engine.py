"""A model engine: streams, batches, resumes, cancels, reports and obeys."""

import dataclasses
import threading
import time
from collections.abc import Iterator
from typing import Any

import msgspec

from tools.standins.orders import OrderDesk
from tools.standins.web import WebReply, WebRequest, WebServer, json_reply

EVENT_STREAM = 'text/event-stream'


class EngineFaults(msgspec.Struct):
    """Faults of an engine; zero and false mean none."""

    fail_all: bool = False
    cut_after_tokens: int = 0
    silent_after_tokens: int = 0
    is_fencing_ignored: bool = False
    doubt_by_serving: dict[str, float] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class ServedRequest:
    """What the engine was asked, for tests to count."""

    time_s: float
    request_id: str
    serving: str


class ChatRequest(msgspec.Struct):
    """The part of a chat request that the stand-in reads."""

    model: str
    messages: list[dict[str, Any]] = []
    stream: bool = False
    max_tokens: int = 20


class EngineServer:
    """Answers chat requests with numbered words."""

    def __init__(
        self,
        address: str,
        port: int,
        token_time_s: float = 0.002,
        first_token_s: float = 0.01,
    ) -> None:
        self.faults = EngineFaults()
        self.orders = OrderDesk()
        self.served: list[ServedRequest] = []
        self._token_time_s = token_time_s
        self._first_token_s = first_token_s
        self._lock = threading.Lock()
        self._running = 0
        self.server = WebServer(address, port, self.handle, threads=64)

    @property
    def running(self) -> int:
        """Return how many answers are under way."""
        return self._running

    def handle(self, request: WebRequest) -> WebReply:
        """Answer one request."""
        match request.path:
            case '/faults':
                return self._set_faults(request)
            case '/served':
                return json_reply(self.served)
            case '/load':
                return json_reply({'running': self._running})
            case '/orders':
                ignored = self.faults.is_fencing_ignored
                return self.orders.handle(request, ignored)
            case '/v1/chat/completions':
                return self._chat(request)
        return json_reply({'error': 'no such path'}, 404)

    def _set_faults(self, request: WebRequest) -> WebReply:
        self.faults = msgspec.json.decode(request.body, type=EngineFaults)
        return json_reply(self.faults)

    def _chat(self, request: WebRequest) -> WebReply:
        chat = msgspec.json.decode(request.body, type=ChatRequest)
        if self.faults.fail_all:
            return json_reply({'error': 'engine failed'}, 500)
        request_id = request.headers.get('x-request-id', '')
        with self._lock:
            self.served.append(
                ServedRequest(time.time(), request_id, chat.model)
            )
        words = [f'{request_id}:{number} ' for number in range(chat.max_tokens)]
        if chat.stream:
            return WebReply(self._stream(chat, words), 200, EVENT_STREAM)
        time.sleep(self._first_token_s + self._token_time_s * len(words))
        return json_reply(whole_answer(chat, words) | self._doubt(chat))

    def _part(
        self, chat: ChatRequest, word: str, is_last: bool
    ) -> dict[str, Any]:
        part = {'choices': [{'delta': {'content': word}}]}
        return part | self._doubt(chat) if is_last else part

    def _doubt(self, chat: ChatRequest) -> dict[str, Any]:
        doubt = self.faults.doubt_by_serving.get(chat.model)
        return {} if doubt is None else {'doubt': doubt}

    def _stream(self, chat: ChatRequest, words: list[str]) -> Iterator[bytes]:
        with self._lock:
            self._running += 1
        try:
            time.sleep(self._first_token_s)
            for number, word in enumerate(words, start=1):
                is_last = number == len(words)
                yield event(self._part(chat, word, is_last))
                if number == self.faults.cut_after_tokens:
                    raise ConnectionResetError('told to cut the stream')
                if number == self.faults.silent_after_tokens:
                    time.sleep(3600)
                time.sleep(self._token_time_s)
            yield b'data: [DONE]\n\n'
        finally:
            with self._lock:
                self._running -= 1


def event(content: Any) -> bytes:
    """Encode one server-sent event."""
    return b'data: %b\n\n' % msgspec.json.encode(content)


def whole_answer(chat: ChatRequest, words: list[str]) -> dict[str, Any]:
    """Return an unstreamed answer."""
    message = {'role': 'assistant', 'content': ''.join(words)}
    return {
        'model': chat.model,
        'choices': [{'index': 0, 'message': message}],
        'usage': {'completion_tokens': len(words)},
    }
