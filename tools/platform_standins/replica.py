"""A stand-in for the platform's replicas, with the faults they may have."""

import asyncio
import collections
import enum
from typing import Final

from tools.platform_standins.http import (
    HEAD_END,
    SeenRequest,
    StandInServer,
    answer,
    chunk,
    read_request,
)

LAST_CHUNK: Final = b'0\r\n\r\n'
SEAL: Final = 'seal'


class ReplicaFault(enum.Enum):
    """What a replica does to its next answer."""

    NONE = 'none'
    SHED = 'shed'
    ERROR = 'error'
    UNSIGNED = 'unsigned'
    FOREIGN_FIRST = 'foreign_first'
    EXTRA = 'extra'
    LOST = 'lost'
    TORN = 'torn'
    OTHER = 'other'
    LYING_BUSY = 'lying_busy'
    SILENT = 'silent'


# Faults after which an answer may not come to its end.
BREAKING: Final = frozenset(
    (
        ReplicaFault.LOST,
        ReplicaFault.TORN,
        ReplicaFault.SILENT,
        ReplicaFault.UNSIGNED,
        ReplicaFault.ERROR,
    )
)


class StandInReplica(StandInServer):
    """Answers as a replica of one name does; faults are used up in order."""

    def __init__(self, name: str, events: int = 4) -> None:
        super().__init__()
        self.name = name
        self.events = events
        self.event_pause_s: float = 0
        self.work_s: float = 0
        self.confidence = 90
        self.faults: collections.deque[ReplicaFault] = collections.deque()
        self.executed_requests: list[SeenRequest] = []
        self.cancelled_ids: list[str] = []
        self.interrupted_ids: list[str] = []
        self.connections = 0

    def entry(self, service: str, **changed: object) -> dict[str, object]:
        """Return the entry that the replica stores of itself."""
        return {
            'service': service,
            'address': self.address,
            'zone': 'here',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_ms': 0,
            'born': 1,
            'sequence': 1,
            **changed,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        self.connections += 1
        while (request := await read_request(reader)) is not None:
            fault = self.faults.popleft() if self.faults else None
            if not await self._answer(request, writer, fault):
                break
            await writer.drain()

    async def _answer(
        self,
        request: SeenRequest,
        writer: asyncio.StreamWriter,
        fault: ReplicaFault | None,
    ) -> bool:
        """Answer one request; False where the connection is to be reset."""
        target = request.headers.get('target-instance', self.name)
        if target != self.name or fault is ReplicaFault.OTHER:
            writer.write(answer(421, {'Instance-Id': 'another'}))
            return True
        if fault is ReplicaFault.SHED:
            writer.write(answer(503, {'Not-Executed': '1'}))
            return True
        self.executed_requests.append(request)
        if fault in BREAKING:
            self.interrupted_ids.append(request.headers['request-id'])
        await asyncio.sleep(self.work_s)
        if fault is ReplicaFault.LOST:
            return False
        if fault is ReplicaFault.SILENT:
            await asyncio.sleep(3600)
        if 'model' in request.headers:
            return await self._stream(request, writer, fault)
        return self._plain(request, writer, fault)

    def _plain(
        self,
        request: SeenRequest,
        writer: asyncio.StreamWriter,
        fault: ReplicaFault | None,
    ) -> bool:
        headers = self._headers(request)
        whole = answer(200, headers, b'done by ' + self.name.encode())
        if request.method == 'HEAD':
            whole = whole[: whole.index(HEAD_END) + len(HEAD_END)]
        if fault is ReplicaFault.ERROR:
            whole = answer(500, headers, b'failed')
        if fault is ReplicaFault.LYING_BUSY:
            whole = answer(503, headers)
        if fault is ReplicaFault.UNSIGNED:
            headers.pop('Response-Seal')
            whole = answer(200, headers, b'unsigned')
        if fault is ReplicaFault.FOREIGN_FIRST:
            foreign = answer(200, {**headers, 'Request-Id': 'f'}, b'crossed')
            whole = foreign + whole
        if fault is ReplicaFault.EXTRA:
            whole += answer(200, headers, b'once more')
        if fault is ReplicaFault.TORN:
            writer.write(whole[:-3])
            return False
        writer.write(whole)
        return True

    async def _stream(
        self,
        request: SeenRequest,
        writer: asyncio.StreamWriter,
        fault: ReplicaFault | None,
    ) -> bool:
        headers = self._headers(request)
        if fault is ReplicaFault.ERROR:
            writer.write(answer(500, headers, b'failed'))
            return True
        lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
        writer.write(
            f'HTTP/1.1 200 OK\r\n{lines}Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        start = int(request.headers.get('last-event-id', '0'))
        for number in range(start + 1, self.events + 1):
            await asyncio.sleep(self.event_pause_s)
            event = f'id: {number}\ndata: event {number}\n\n'.encode()
            if fault is ReplicaFault.TORN and number == self.events:
                writer.write(chunk(event[:5]))
                return False
            if writer.is_closing():
                self.cancelled_ids.append(request.headers['request-id'])
                return False
            writer.write(chunk(event))
        writer.write(LAST_CHUNK)
        return True

    def _headers(self, request: SeenRequest) -> dict[str, str]:
        return {
            'Request-Id': request.headers['request-id'],
            'Response-Seal': f'{SEAL}-{self.name}',
            'Server-Load': '1,0,8',
            'Confidence': str(self.confidence),
            'Keep-Alive': 'timeout=10',
        }
