"""Fake platform log with retention, outages, delays and lost replies."""

import contextlib
import dataclasses
import random
import threading
import time
from collections.abc import Iterator

import msgspec

from marigoldhoist.components.platform_log.models import (
    AppendReply,
    AppendRequest,
    LogEntry,
    ReadReply,
    Record,
)
from marigoldhoist.core.clock import SYSTEM_CLOCK, Clock
from tools.standins.web import WebReply, WebRequest, WebServer, json_reply

MAX_WAIT_S = 10.0
# Answers that a test forgets to release are sent after this time.
MAX_HOLD_S = 60.0


class LogFaults(msgspec.Struct):
    """Injected faults; zero and false mean none.

    `lose_append_answer` is the probability that an append is stored but
    answered with status 503. `delay_s` delays every request.
    """

    is_down: bool = False
    lose_append_answer: float = 0
    delay_s: float = 0


@dataclasses.dataclass(slots=True)
class StreamContent:
    """The retained entries of one stream."""

    first_offset: int = 0
    entries: list[LogEntry] = dataclasses.field(default_factory=list)

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record."""
        return self.first_offset + len(self.entries)


class LogStore:
    """In-memory streams; `retention_records` limits each, 0 retains all."""

    def __init__(self, seed: int = 1, clock: Clock = SYSTEM_CLOCK) -> None:
        self.append_count = 0
        self._clock = clock
        self.retention_records = 0
        self._streams: dict[str, StreamContent] = {}
        self._changed = threading.Condition()
        self._rng = random.Random(seed)

    def append(self, stream: str, records: tuple[Record, ...]) -> list[int]:
        """Append records and return their offsets."""
        with self._changed:
            self.append_count += 1
            content = self._content(stream)
            offsets = [self._add(content, record) for record in records]
            self._expire(content)
            self._changed.notify_all()
        return offsets

    def read(
        self, stream: str, offset: int, limit: int, wait_s: float
    ) -> ReadReply:
        """Return entries from offset on.

        Without such an entry, wait for one (long poll) for up to `wait_s`,
        at most MAX_WAIT_S.
        """
        with self._changed:
            content = self._content(stream)
            self._changed.wait_for(
                lambda: content.next_offset > offset,
                min(wait_s, MAX_WAIT_S),
            )
            start = max(0, offset - content.first_offset)
            return ReadReply(
                first_offset=content.first_offset,
                next_offset=content.next_offset,
                entries=tuple(content.entries[start : start + limit]),
            )

    def entries(self, stream: str) -> list[LogEntry]:
        """Return the retained entries of a stream."""
        with self._changed:
            return list(self._content(stream).entries)

    def expire_before(self, stream: str, offset: int) -> None:
        """Drop the entries before offset, as retention does."""
        with self._changed:
            content = self._content(stream)
            surplus = min(
                max(0, offset - content.first_offset), len(content.entries)
            )
            del content.entries[:surplus]
            content.first_offset += surplus

    def truncate(self, stream: str, next_offset: int) -> None:
        """Drop the entries from next_offset on, to simulate data loss."""
        with self._changed:
            content = self._content(stream)
            del content.entries[next_offset - content.first_offset :]

    def is_fault_drawn(self, probability: float) -> bool:
        """Draw a random number: True with the given probability."""
        return self._rng.random() < probability

    def _content(self, stream: str) -> StreamContent:
        return self._streams.setdefault(stream, StreamContent())

    def _add(self, content: StreamContent, record: Record) -> int:
        offset = content.next_offset
        content.entries.append(LogEntry(offset, self._clock.now_ms(), record))
        return offset

    def _expire(self, content: StreamContent) -> None:
        limit = self.retention_records
        surplus = len(content.entries) - limit
        if limit and surplus > 0:
            del content.entries[:surplus]
            content.first_offset += surplus


class LogServer:
    """Serves a log store over HTTP, with injected faults.

    Several servers can share a store, so that faults affect only the clients
    of one server.
    """

    def __init__(
        self, address: str, port: int, store: LogStore | None = None
    ) -> None:
        self.store = store or LogStore()
        self.faults = LogFaults()
        self._may_answer_appends = threading.Event()
        self._may_answer_appends.set()
        self.server = WebServer(address, port, self.handle, threads=64)

    @contextlib.contextmanager
    def held_append_answers(self) -> Iterator[None]:
        """Store appended records but hold the answers within the context."""
        self._may_answer_appends.clear()
        try:
            yield
        finally:
            self._may_answer_appends.set()

    def handle(self, request: WebRequest) -> WebReply:
        """Handle one HTTP request."""
        if request.path == '/faults':
            self.faults = msgspec.json.decode(request.body, type=LogFaults)
            return json_reply(self.faults)
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        if self.faults.is_down:
            return json_reply({'error': 'down'}, 503)
        stream = request.path.removeprefix('/streams/').partition('/')[0]
        if request.method == 'POST':
            return self._append(stream, request)
        return self._read(stream, request)

    def _append(self, stream: str, request: WebRequest) -> WebReply:
        decoded = msgspec.json.decode(request.body, type=AppendRequest)
        offsets = self.store.append(stream, decoded.records)
        self._may_answer_appends.wait(MAX_HOLD_S)
        if self.store.is_fault_drawn(self.faults.lose_append_answer):
            return json_reply({'error': 'answer lost'}, 503)
        return json_reply(AppendReply(tuple(offsets)))

    def _read(self, stream: str, request: WebRequest) -> WebReply:
        reply = self.store.read(
            stream,
            int(request.query.get('from', '0')),
            int(request.query.get('limit', '100')),
            float(request.query.get('wait_s', '0')),
        )
        if self.faults.is_down:
            return json_reply({'error': 'down'}, 503)
        return json_reply(reply)
