"""A stand-in for the platform's store: keyed topics, reads, appends, faults."""

import asyncio
import base64
import contextlib
import dataclasses
import enum
import json
import struct
from typing import Any, Final

from tools.platform_standins.http import (
    SeenRequest,
    StandInServer,
    answer,
    read_request,
)

OPERATOR_TOPIC: Final = 'keyed.op'
REPLICAS_TOPIC: Final = 'keyed.servers'
STATUS_TOPIC: Final = 'keyed.status'

OFFSETS: Final = struct.Struct('>QQ')
LENGTH: Final = struct.Struct('>I')


class StoreFault(enum.Enum):
    """What the store does instead of answering as it should."""

    NONE = 'none'
    BUSY = 'busy'
    RESET = 'reset'
    SILENT = 'silent'
    LOST = 'lost'


@dataclasses.dataclass(slots=True)
class TopicLog:
    """The records of one topic; the first kept may be above zero."""

    records: list[bytes] = dataclasses.field(default_factory=list)
    first_offset: int = 0
    latest_by_key: dict[str, tuple[int, bytes]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def end_offset(self) -> int:
        """Return the offset after the last record."""
        return self.first_offset + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        """Append a record and return its offset; no value drops the key."""
        named = key.encode()
        self.records.append(bytes((len(named),)) + named + value)
        offset = self.end_offset - 1
        if value:
            self.latest_by_key[key] = (offset, value)
        else:
            self.latest_by_key.pop(key, None)
        return offset

    def compact(self) -> None:
        """Drop every record but the newest of each key."""
        self.first_offset = self.end_offset
        self.records.clear()


class StandInStore(StandInServer):
    """Serves the store's calls on a loopback address."""

    def __init__(self) -> None:
        super().__init__()
        self.topic_by_name: dict[str, TopicLog] = {
            name: TopicLog()
            for name in (OPERATOR_TOPIC, REPLICAS_TOPIC, STATUS_TOPIC)
        }
        self.fault = StoreFault.NONE
        self.delay_s: float = 0
        self.calls = 0
        self._changed = asyncio.Event()

    async def put(self, topic: str, key: str, content: Any) -> int:
        """Store a JSON value as the operator or a replica does."""
        return await self.put_raw(topic, key, json.dumps(content).encode())

    async def put_raw(self, topic: str, key: str, value: bytes) -> int:
        """Store bytes; empty ones drop the key."""
        offset = self.topic_by_name[topic].append(key, value)
        self._note_changed()
        return offset

    def _note_changed(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        while (request := await read_request(reader)) is not None:
            self.calls += 1
            if not await self._answer(request, writer):
                break

    async def _answer(
        self, request: SeenRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one call; False where the connection is to be reset."""
        await asyncio.sleep(self.delay_s)
        if self.fault is StoreFault.RESET:
            return False
        if self.fault is StoreFault.SILENT:
            await asyncio.sleep(3600)
        if self.fault is StoreFault.BUSY:
            writer.write(answer(503))
            return True
        rendered = await self._perform(request)
        if self.fault is not StoreFault.NONE:
            return False
        writer.write(rendered)
        await writer.drain()
        return True

    async def _perform(self, request: SeenRequest) -> bytes:
        topic = self.topic_by_name[request.query['topic']]
        if request.path.endswith('log-newest'):
            return _newest(topic)
        if request.path.endswith('log-read'):
            return await self._read(topic, request)
        return await self._append(topic, request)

    async def _read(self, topic: TopicLog, request: SeenRequest) -> bytes:
        start = int(request.query['from'])
        wait_s = int(request.query.get('wait_ms', '0')) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while topic.end_offset <= start:
                    await self._changed.wait()
        if start < topic.first_offset:
            shown = json.dumps({'first': topic.first_offset}).encode()
            return answer(410, body=shown)
        framed = b''.join(
            LENGTH.pack(len(record)) + record
            for record in topic.records[start - topic.first_offset :]
        )
        return answer(
            200,
            body=OFFSETS.pack(topic.end_offset, topic.first_offset) + framed,
        )

    async def _append(self, topic: TopicLog, request: SeenRequest) -> bytes:
        expected = request.query.get('at')
        shown = json.dumps({'end': topic.end_offset}).encode()
        if expected is not None and int(expected) != topic.end_offset:
            return answer(412, body=shown)
        record = request.body[LENGTH.size :]
        key_end = 1 + record[0]
        key = record[1:key_end].decode()
        topic.append(key, record[key_end:])
        self._note_changed()
        return answer(200, body=json.dumps({'end': topic.end_offset}).encode())


def _newest(topic: TopicLog) -> bytes:
    listed = [
        {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'offset': offset,
        }
        for key, (offset, value) in topic.latest_by_key.items()
    ]
    shown = {'items': listed, 'has_more': False, 'end': topic.end_offset}
    return answer(200, body=json.dumps(shown).encode())
