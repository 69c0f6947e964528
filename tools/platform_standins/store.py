"""A stand-in for the platform's store of keyed topics, with fault injection."""

import asyncio
import base64
import contextlib
import dataclasses
import enum
import json
import struct
from collections.abc import Iterable, Iterator
from typing import Any, Final

from tools.platform_standins.http import (
    ReceivedRequest,
    StandInServer,
    encode_response,
    read_request,
)

OPERATOR_TOPIC: Final = 'keyed.op'
REPLICAS_TOPIC: Final = 'keyed.servers'
STATUS_TOPIC: Final = 'keyed.status'
QUARANTINE_TOPIC: Final = 'keyed.quarantine'

# End and first offset at the head of a read response, then the records, each
# preceded by its length.
OFFSETS: Final = struct.Struct('>QQ')
LENGTH: Final = struct.Struct('>I')
# The largest size of the records in an answer, unless the read names another.
DEFAULT_READ_KB: Final = 1024


class StoreFault(enum.Enum):
    """How the store mishandles every call."""

    NONE = 'none'
    # 503 without performing the call.
    BUSY = 'busy'
    # The connection is aborted and the call is not performed.
    RESET = 'reset'
    # No response for an hour.
    SILENT = 'silent'
    # The call is performed, then the connection is aborted.
    LOST = 'lost'


@dataclasses.dataclass(slots=True)
class TopicLog:
    """The latest value of each key and the records since the compaction."""

    records: list[bytes] = dataclasses.field(default_factory=list)
    first_offset: int = 0
    latest_by_key: dict[str, tuple[int, bytes]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def end_offset(self) -> int:
        """Return the offset that follows the last record."""
        return self.first_offset + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        """Append a record and return its offset; an empty value deletes."""
        key_bytes = key.encode()
        self.records.append(bytes((len(key_bytes),)) + key_bytes + value)
        offset = self.end_offset - 1
        if value:
            self.latest_by_key[key] = (offset, value)
        else:
            self.latest_by_key.pop(key, None)
        return offset

    def copy(self) -> 'TopicLog':
        """Return a copy of the log as it is now."""
        return TopicLog(
            list(self.records), self.first_offset, dict(self.latest_by_key)
        )

    def compact(self) -> None:
        """Drop all records and keep only the latest value of each key."""
        self.first_offset = self.end_offset
        self.records.clear()


class StandInStore(StandInServer):
    """Serves the HTTP calls of the store."""

    def __init__(self) -> None:
        super().__init__()
        self.topic_by_name: dict[str, TopicLog] = {
            name: TopicLog()
            for name in (
                OPERATOR_TOPIC,
                REPLICAS_TOPIC,
                STATUS_TOPIC,
                QUARANTINE_TOPIC,
            )
        }
        self.fault = StoreFault.NONE
        self.delay_s: float = 0
        self.calls = 0
        # Era reported in all answers, None for a store without eras.
        self.era: int | None = None
        # Replaces the era in the answers, to report an invalid one.
        self.era_text = ''
        self._changed = asyncio.Event()

    def take_copy(self) -> dict[str, TopicLog]:
        """Return a copy of all topics, from which to restore the store."""
        return {name: log.copy() for name, log in self.topic_by_name.items()}

    def restore(self, copy: dict[str, TopicLog]) -> None:
        """Replace all topics by an older copy and begin the next era.

        Open connections are aborted, as the store was away for a moment.
        """
        self.topic_by_name = {name: log.copy() for name, log in copy.items()}
        self.era = (self.era or 0) + 1
        self.reset()

    async def put(self, topic: str, key: str, content: Any) -> int:
        """Encode a value as JSON, append it and return its offset."""
        return await self.put_raw(topic, key, json.dumps(content).encode())

    async def put_raw(self, topic: str, key: str, value: bytes) -> int:
        """Append bytes and return their offset; empty bytes delete the key."""
        offset = self.topic_by_name[topic].append(key, value)
        self._wake_readers()
        return offset

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle one connection until it ends."""
        while (request := await read_request(reader)) is not None:
            self.calls += 1
            if not await self._handle(request, writer):
                break

    async def _handle(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Handle one call; return False to abort the connection."""
        await asyncio.sleep(self.delay_s)
        if self.fault is StoreFault.RESET:
            return False
        if self.fault is StoreFault.SILENT:
            await asyncio.sleep(3600)
        if self.fault is StoreFault.BUSY:
            writer.write(self._encode(503))
            return True
        response = await self._handle_call(request)
        if self.fault is not StoreFault.NONE:
            return False
        writer.write(response)
        await writer.drain()
        return True

    def _encode(self, status: int, body: bytes = b'') -> bytes:
        era = self.era_text or str(self.era or '')
        headers = {'Store-Era': era} if era else {}
        return encode_response(status, headers, body)

    async def _handle_call(self, request: ReceivedRequest) -> bytes:
        topic = self.topic_by_name[request.query['topic']]
        if request.path.endswith('log-newest'):
            return self._encode(200, body=_latest_records(topic))
        if request.path.endswith('log-read'):
            return await self._read(topic, request)
        return await self._append(topic, request)

    async def _read(self, topic: TopicLog, request: ReceivedRequest) -> bytes:
        start = int(request.query['from'])
        wait_s = int(request.query.get('wait_ms', '0')) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while topic.end_offset == start:
                    await self._changed.wait()
        if not topic.first_offset <= start <= topic.end_offset:
            payload = json.dumps({'first': topic.first_offset}).encode()
            return self._encode(410, body=payload)
        max_bytes = int(request.query.get('max_kb', DEFAULT_READ_KB)) * 1024
        records = topic.records[start - topic.first_offset :]
        return self._encode(
            200,
            body=OFFSETS.pack(topic.end_offset, topic.first_offset)
            + _framed_up_to(records, max_bytes),
        )

    async def _append(self, topic: TopicLog, request: ReceivedRequest) -> bytes:
        expected = request.query.get('at')
        payload = json.dumps({'end': topic.end_offset}).encode()
        if expected is not None and int(expected) != topic.end_offset:
            return self._encode(412, body=payload)
        for record in _records(request.body):
            key_end = 1 + record[0]
            key = record[1:key_end].decode()
            topic.append(key, record[key_end:])
        self._wake_readers()
        return self._encode(
            200, body=json.dumps({'end': topic.end_offset}).encode()
        )


def _framed_up_to(records: Iterable[bytes], max_bytes: int) -> bytes:
    """Return as many records with their lengths as fit into a size."""
    framed = bytearray()
    for record in records:
        if len(framed) + LENGTH.size + len(record) > max_bytes:
            break
        framed += LENGTH.pack(len(record)) + record
    return bytes(framed)


def _records(body: bytes) -> Iterator[bytes]:
    """Yield the records of an append, each after its length."""
    start = 0
    while start < len(body):
        length = LENGTH.unpack_from(body, start)[0]
        start += LENGTH.size
        yield body[start : start + length]
        start += length


def _latest_records(topic: TopicLog) -> bytes:
    records = [
        {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'offset': offset,
        }
        for key, (offset, value) in topic.latest_by_key.items()
    ]
    payload = {'items': records, 'has_more': False, 'end': topic.end_offset}
    return json.dumps(payload).encode()
