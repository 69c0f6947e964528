"""A stand-in replica of the platform that can inject faults."""

import asyncio
import collections
import enum
from collections.abc import Callable, Mapping, Set
from typing import Final

from tools.platform_standins.http import (
    HEAD_END,
    ReceivedRequest,
    StandInServer,
    encode_chunk,
    encode_response,
    read_request,
)
from tools.platform_standins.stutters import StutteringWriter

LAST_CHUNK: Final = b'0\r\n\r\n'
SEAL: Final = 'seal'


class ReplicaFault(enum.Enum):
    """How a replica mishandles one request."""

    NONE = 'none'
    # 503 with Not-Executed: the request was refused before execution.
    SHED = 'shed'
    # 500 after execution.
    ERROR = 'error'
    # A response without the Response-Seal header.
    UNSIGNED = 'unsigned'
    # A response with another Request-Id precedes the actual one.
    FOREIGN_FIRST = 'foreign_first'
    # A second response follows the actual one.
    EXTRA = 'extra'
    # The connection is aborted after execution, before any response.
    LOST = 'lost'
    # The connection is aborted in the middle of the response.
    TORN = 'torn'
    # 421, as from an instance that is not the target of the request.
    OTHER = 'other'
    # 503 without Not-Executed: the request was executed all the same.
    LYING_BUSY = 'lying_busy'
    # No response for an hour.
    SILENT = 'silent'


# Faults after which a caller may not get a complete response.
INTERRUPTING_FAULTS: Final = frozenset(
    (
        ReplicaFault.LOST,
        ReplicaFault.TORN,
        ReplicaFault.SILENT,
        ReplicaFault.UNSIGNED,
        ReplicaFault.ERROR,
    )
)


class StandInReplica(StandInServer):
    """Serves requests as the replica with the given name.

    Each request consumes the next queued fault, if any. `events` is the number
    of events in a stream, `limit_per_s` a limit that it names, `retry_after_s`
    what it adds when it sheds a request, `arrivals` the number of requests. A
    stream whose prompt has one of `crashing_parts` crashes the replica
    `crash_delay_s` after the head of the response, and a request for one of
    `crashing_paths` as long after its start; either calls `on_crash`. `born`
    distinguishes its starts under one name. `on_answer` is called with the id
    of each plain request that was run and the status of its first answer. A
    replica with a `capacity` turns away the requests beyond it; one with a
    `rejection_limit` names that in its answers, and crashes if it turns more
    requests away in a second.
    `executed_requests` holds every request that was executed, `cancelled_ids`
    the ids of streams whose client disconnected, and `interrupted_ids` the ids
    of requests whose response a fault may have cut.
    """

    def __init__(self, name: str, events: int = 4) -> None:
        super().__init__()
        self.name = name
        self.events = events
        self.event_pause_s: float = 0
        self.processing_s: float = 0
        self.confidence = 90
        self.limit_per_s: float | None = None
        self.is_leaving = False
        self.retry_after_s: float | None = None
        self.crashing_parts: Set[str] = frozenset()
        self.crashing_paths: Set[str] = frozenset()
        self.crash_delay_s = 0.02
        self.capacity: int | None = None
        self.rejection_limit: int | None = None
        self._running = 0
        self._rejection_times_s: collections.deque[float] = collections.deque()
        self.has_crashed = False
        self.on_crash: Callable[[str], None] = _ignore_crash
        self.born = 1
        self.part_ids: collections.Counter[str] = collections.Counter()
        self.paths: collections.Counter[str] = collections.Counter()
        self.arrivals = 0
        self.faults: collections.deque[ReplicaFault] = collections.deque()
        self.executed_requests: list[ReceivedRequest] = []
        self.cancelled_ids: list[str] = []
        self.interrupted_ids: list[str] = []
        self.connections = 0
        # How long a request is queued before it is turned away.
        self.shed_delay_s: float = 0
        # Writes the answers to plain requests, None for a sound replica.
        self.stuttering: StutteringWriter | None = None
        # The least size of the answers to plain requests for a path.
        self.body_bytes_by_path: Mapping[str, int] = {}
        self.on_answer: Callable[[str, int], None] = _ignore_answer

    def entry(self, service: str, **changed: object) -> dict[str, object]:
        """Return the entry that the replica stores to register itself."""
        return {
            'service': service,
            'address': self.address,
            'zone': 'here',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_ms': 0,
            'born': self.born,
            'sequence': 1,
            **changed,
        }

    def crash(self, cause: str = '') -> None:
        """End the process: stop listening and reset every connection."""
        if self.has_crashed:
            return
        self.has_crashed = True
        self.stop()
        self.on_crash(cause)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle one connection until it ends."""
        self.connections += 1
        while (request := await read_request(reader)) is not None:
            fault = self.faults.popleft() if self.faults else None
            if self._is_full:
                fault = ReplicaFault.SHED
            self._running += 1
            try:
                is_open = await self._handle(request, writer, fault)
            finally:
                self._running -= 1
            if not is_open:
                break
            await writer.drain()

    async def _handle(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        fault: ReplicaFault | None,
    ) -> bool:
        """Handle one request; return False to abort the connection."""
        self.arrivals += 1
        self.part_ids.update(_part_ids(request))
        self.paths[request.path] += 1
        target = request.headers.get('target-instance', self.name)
        if target != self.name or fault is ReplicaFault.OTHER:
            headers = {'Instance-Id': 'another', **_id_header(request)}
            writer.write(encode_response(421, headers))
            return True
        if fault is ReplicaFault.SHED:
            self._note_rejection()
            await asyncio.sleep(self.shed_delay_s)
            headers = {
                'Not-Executed': '1',
                **_id_header(request),
                **self._announcement_headers(),
            }
            if self.retry_after_s is not None:
                headers['Retry-After'] = str(self.retry_after_s)
            writer.write(encode_response(503, headers))
            return True
        self.executed_requests.append(request)
        if fault in INTERRUPTING_FAULTS:
            self.interrupted_ids.append(request.headers['request-id'])
        if request.path in self.crashing_paths:
            await asyncio.sleep(self.crash_delay_s)
            self.crash(request.path)
            return False
        await asyncio.sleep(self.processing_s)
        if fault is ReplicaFault.LOST:
            return False
        if fault is ReplicaFault.SILENT:
            await asyncio.sleep(3600)
        if 'model' in request.headers:
            return await self._respond_stream(request, writer, fault)
        return self._respond(request, writer, fault)

    @property
    def _is_full(self) -> bool:
        return self.capacity is not None and self._running >= self.capacity

    def _note_rejection(self) -> None:
        """Crash if too many requests were turned away within a second."""
        now_s = asyncio.get_running_loop().time()
        times_s = self._rejection_times_s
        times_s.append(now_s)
        while times_s[0] < now_s - 1:
            times_s.popleft()
        if self.rejection_limit is None:
            return
        if len(times_s) > self.rejection_limit:
            self.crash('turned too many requests away')

    def _respond(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        fault: ReplicaFault | None,
    ) -> bool:
        headers = self._headers(request)
        body = b'done by ' + self.name.encode()
        body = body.ljust(self.body_bytes_by_path.get(request.path, 0), b'.')
        response = encode_response(200, headers, body)
        if request.method == 'HEAD':
            response = response[: response.index(HEAD_END) + len(HEAD_END)]
        if fault is ReplicaFault.ERROR:
            response = encode_response(500, headers, b'failed')
        if fault is ReplicaFault.LYING_BUSY:
            response = encode_response(503, headers)
        self.on_answer(request.headers['request-id'], _status_of(response))
        if fault is ReplicaFault.UNSIGNED:
            headers.pop('Response-Seal')
            response = encode_response(200, headers, b'unsigned')
        if fault is ReplicaFault.FOREIGN_FIRST:
            unrelated = encode_response(
                200, {**headers, 'Request-Id': 'f'}, b'crossed'
            )
            response = unrelated + response
        if fault is ReplicaFault.EXTRA:
            response += encode_response(200, headers, b'once more')
        if fault is ReplicaFault.TORN:
            writer.write(response[:-3])
            return False
        if self.stuttering is None:
            writer.write(response)
        else:
            self.stuttering.write(writer, response)
        return True

    async def _respond_stream(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        fault: ReplicaFault | None,
    ) -> bool:
        headers = self._headers(request)
        if fault is ReplicaFault.ERROR:
            writer.write(encode_response(500, headers, b'failed'))
            return True
        lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
        writer.write(
            f'HTTP/1.1 200 OK\r\n{lines}Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        crashing = self.crashing_parts & set(_part_ids(request))
        if crashing:
            await asyncio.sleep(self.crash_delay_s)
            self.crash(min(crashing))
            return False
        start = int(request.headers.get('last-event-id', '0'))
        for number in range(start + 1, self.events + 1):
            await asyncio.sleep(self.event_pause_s)
            event = f'id: {number}\ndata: event {number}\n\n'.encode()
            if fault is ReplicaFault.TORN and number == self.events:
                writer.write(encode_chunk(event[:5]))
                return False
            if writer.is_closing():
                self.cancelled_ids.append(request.headers['request-id'])
                return False
            writer.write(encode_chunk(event))
        writer.write(LAST_CHUNK)
        return True

    def _headers(self, request: ReceivedRequest) -> dict[str, str]:
        return {
            **_id_header(request),
            'Response-Seal': f'{SEAL}-{self.name}',
            'Server-Load': f'{self._running},0,{self.capacity or 8}',
            'Confidence': str(self.confidence),
            'Keep-Alive': 'timeout=10',
            **self._announcement_headers(),
        }

    def _announcement_headers(self) -> dict[str, str]:
        headers = {}
        if self.limit_per_s is not None:
            headers['Server-Limit'] = str(self.limit_per_s)
        if self.rejection_limit is not None:
            headers['Server-Brittle'] = str(self.rejection_limit)
        if self.is_leaving:
            headers['Server-Leaving'] = '1'
        return headers


def _id_header(request: ReceivedRequest) -> dict[str, str]:
    """Return the header that names the request of a response."""
    return {'Request-Id': request.headers['request-id']}


def _status_of(response: bytes) -> int:
    """Return the status of an encoded response."""
    return int(response.split(b' ', 2)[1])


def _ignore_answer(_request_id: str, _status: int) -> None:
    """Ignore an answer."""


def _ignore_crash(_cause: str) -> None:
    """Ignore a crash."""


def _part_ids(request: ReceivedRequest) -> list[str]:
    """Return the ids of the parts of the request's prompt."""
    entries = request.headers.get('prefix-hash', '').split(',')
    return [entry.partition(':')[0] for entry in entries if entry]
