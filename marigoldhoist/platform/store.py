"""HTTP client of the platform's store."""

import asyncio
import base64
import dataclasses
import struct
from collections.abc import Iterator, Sequence
from typing import Final
from urllib.parse import urlencode

import msgspec

from marigoldhoist.components.feeds.const import CALL_TIMEOUT_S
from marigoldhoist.components.feeds.errors import (
    ConditionFailedError,
    HistoryLostError,
    StoreUnavailableError,
)
from marigoldhoist.components.feeds.models import (
    Batch,
    KeyedRecord,
    NewRecord,
    Position,
    Topic,
)
from marigoldhoist.components.gateway.connection import HttpConnection
from marigoldhoist.components.gateway.errors import (
    ConnectionClosedError,
    MalformedMessageError,
)
from marigoldhoist.components.gateway.messages import (
    End,
    MessageHead,
    request_bytes,
)
from marigoldhoist.components.gateway.parsers import ResponseParser
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.decoding import decode_json, parse_integer
from marigoldhoist.core.identity import split_address
from marigoldhoist.platform.const import (
    APPEND_LOG,
    READ_LOG,
    READ_NEWEST,
    STORE_ERA,
)

NAME_BY_TOPIC: Final = {
    Topic.OPERATOR: 'keyed.op',
    Topic.REPLICAS: 'keyed.servers',
    Topic.STATUS: 'keyed.status',
    Topic.QUARANTINE: 'keyed.quarantine',
}
HTTP_OK: Final = 200
# The requested offset is no longer retained.
HTTP_GONE: Final = 410
# The topic does not end at the offset that an append expects.
CONFLICT_STATUSES: Final = frozenset((409, 412))

# A read returns at most 1 MiB of records, a page of the newest 1 MB of values.
MAX_BODY_BYTES: Final = 16 * 1024 * 1024

# A read response starts with the end offset and the first retained offset.
OFFSETS_HEADER: Final = struct.Struct('>QQ')
# Each record is prefixed with its length in bytes.
RECORD_LENGTH: Final = struct.Struct('>I')
# A keyed record starts with the length of its key in bytes.
KEY_LENGTH_BYTES: Final = 1


class NewestItem(msgspec.Struct):
    """The newest record of a key; the value is encoded in base64."""

    key: str
    value: str
    offset: int


class NewestPage(msgspec.Struct):
    """One page of the newest records; `end` is the topic's end offset."""

    items: list[NewestItem]
    has_more: bool
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReply:
    """Status, body and era of an answer of the store."""

    status: int
    body: bytes
    era: int | None


class PlatformStore:
    """Client of the store with a pool of persistent connections."""

    def __init__(self, address: str) -> None:
        host, port = split_address(address)
        self._host = host
        self._port = port
        self._idle: list[HttpConnection] = []
        self._newest_era: int | None = None

    async def newest(self, topic: Topic) -> Batch:
        """Return the newest record of each key.

        The batch has the end offset of the first page, so that records
        appended while later pages are fetched are read again from there.
        Raises StoreUnavailableError if the era changes between the pages.
        """
        page, era = await self._fetch_newest_page(topic, None)
        end = page.end
        records = list(page_records(page))
        while page.has_more and page.items:
            page, page_era = await self._fetch_newest_page(
                topic, page.items[-1].key
            )
            if page_era != era:
                raise StoreUnavailableError(
                    f'era {page_era} of a page after era {era}'
                )
            records.extend(page_records(page))
        return Batch(tuple(records), end, era)

    async def read(self, topic: Topic, offset: int, wait_s: float) -> Batch:
        """Return the records from an offset, with a long poll for the first.

        The store limits the size of an answer; the next read continues it.
        Raises StoreUnavailableError if an answer has none of the records that
        it says there are.
        """
        target = _request_target(
            READ_LOG,
            topic,
            {'from': offset, 'wait_ms': int(wait_s * MS_PER_S)},
        )
        reply = await self._call('GET', target, b'', wait_s)
        if reply.status == HTTP_GONE:
            raise HistoryLostError(f'records from {offset} on are not kept')
        _require_ok(reply)
        if len(reply.body) < OFFSETS_HEADER.size:
            raise StoreUnavailableError('a read without offsets')
        topic_end, _ = OFFSETS_HEADER.unpack_from(reply.body)
        raw = reply.body[OFFSETS_HEADER.size :]
        records = tuple(_decode_records(raw, offset))
        end = offset + len(records)
        is_truncated = end < topic_end
        if is_truncated and not records:
            raise StoreUnavailableError(
                f'no record from {offset} on, though the topic ends at '
                f'{topic_end}'
            )
        return Batch(records, end, reply.era, is_truncated)

    async def append(
        self,
        topic: Topic,
        records: Sequence[NewRecord],
        expected_end: Position,
    ) -> None:
        """Append records if the topic still ends at the expected offset.

        The store compares offsets only. If it answers in another era, the
        offset was reached again by other records and the outcome is unknown.
        """
        if (expected_end.era or 0) < (self._newest_era or 0):
            raise ConditionFailedError(
                f'era {self._newest_era}, expected {expected_end.era}'
            )
        offset = expected_end.offset
        target = _request_target(APPEND_LOG, topic, {'at': offset})
        body = b''.join(map(_framed, records))
        reply = await self._call('POST', target, body, 0)
        if reply.status in CONFLICT_STATUSES:
            raise ConditionFailedError(f'the topic does not end at {offset}')
        _require_ok(reply)
        if reply.era != expected_end.era:
            raise StoreUnavailableError(
                f'appended in era {reply.era}, expected {expected_end.era}'
            )

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _fetch_newest_page(
        self, topic: Topic, after: str | None
    ) -> tuple[NewestPage, int | None]:
        query: dict[str, str | int] = {} if after is None else {'after': after}
        target = _request_target(READ_NEWEST, topic, query)
        reply = await self._call('GET', target, b'', 0)
        _require_ok(reply)
        try:
            return decode_json(reply.body, NewestPage), reply.era
        except msgspec.DecodeError as error:
            raise StoreUnavailableError(f'unreadable page: {error}') from error

    async def _call(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> StoreReply:
        """Send a request and return the answer."""
        connection: HttpConnection | None = None
        try:
            async with asyncio.timeout(wait_s + CALL_TIMEOUT_S):
                connection = await self._acquire_connection()
                await connection.write(
                    self._encode_request(method, target, body)
                )
                head, response = await _read_response(connection)
        except TimeoutError as error:
            _abort(connection)
            raise StoreUnavailableError('no answer in time') from error
        except (OSError, ConnectionClosedError, MalformedMessageError) as error:
            _abort(connection)
            raise StoreUnavailableError(f'call failed: {error}') from error
        except asyncio.CancelledError:
            _abort(connection)
            raise
        if head.is_keep_alive and not connection.is_closed:
            self._idle.append(connection)
        else:
            connection.close()
        era = _parse_era(head)
        if era is not None:
            self._newest_era = max(era, self._newest_era or era)
        return StoreReply(head.status, response, era)

    async def _acquire_connection(self) -> HttpConnection:
        while self._idle:
            idle = self._idle.pop()
            if idle.is_reusable:
                return idle
            idle.close()
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            _new_connection, self._host, self._port
        )
        return connection

    def _encode_request(self, method: str, target: str, body: bytes) -> bytes:
        headers = [(b'Host', f'{self._host}:{self._port}'.encode())]
        return request_bytes(method, target.encode(), headers, body)


def _new_connection() -> HttpConnection:
    return HttpConnection(ResponseParser())


def _abort(connection: HttpConnection | None) -> None:
    if connection is not None:
        connection.abort()


async def _read_response(
    connection: HttpConnection,
) -> tuple[MessageHead, bytes]:
    head = await connection.next_item()
    if not isinstance(head, MessageHead):
        raise MalformedMessageError('a body without a head')
    body = bytearray()
    item = await connection.next_item()
    while item is not End.OF_MESSAGE:
        if isinstance(item, bytes):
            body += item
        if len(body) > MAX_BODY_BYTES:
            raise MalformedMessageError(f'body of over {MAX_BODY_BYTES} bytes')
        item = await connection.next_item()
    return head, bytes(body)


def _request_target(
    path: str, topic: Topic, query: dict[str, str | int]
) -> str:
    parameters = {'topic': NAME_BY_TOPIC[topic], 'part': 0, **query}
    return f'{path}?{urlencode(parameters)}'


def _require_ok(reply: StoreReply) -> None:
    if reply.status != HTTP_OK:
        raise StoreUnavailableError(f'status {reply.status}')


def _parse_era(head: MessageHead) -> int | None:
    """Return the era of an answer, None if it has none.

    Raise StoreUnavailableError if it is not a number.
    """
    text = head.value(STORE_ERA)
    if not text:
        return None
    era = parse_integer(text)
    if era is None:
        raise StoreUnavailableError(f'store era {text!r} is not a number')
    return era


def _framed(record: NewRecord) -> bytes:
    raw_key = record.key.encode()
    content = bytes((len(raw_key),)) + raw_key + record.value
    return RECORD_LENGTH.pack(len(content)) + content


def page_records(page: NewestPage) -> Iterator[KeyedRecord]:
    """Yield the records of a page."""
    for item in page.items:
        try:
            value = base64.b64decode(item.value)
        except ValueError:
            # The record is passed on, so that its reader finds it unreadable.
            value = item.value.encode()
        yield KeyedRecord(item.key, value, item.offset)


def _decode_records(raw: bytes, offset: int) -> Iterator[KeyedRecord]:
    """Yield the decoded records; a truncated last record is skipped."""
    start = 0
    while start + RECORD_LENGTH.size <= len(raw):
        length = RECORD_LENGTH.unpack_from(raw, start)[0]
        start += RECORD_LENGTH.size
        record = raw[start : start + length]
        if len(record) < length:
            return
        start += length
        yield _decode_record(record, offset)
        offset += 1


def _decode_record(record: bytes, offset: int) -> KeyedRecord:
    key_end = KEY_LENGTH_BYTES + int.from_bytes(record[:KEY_LENGTH_BYTES])
    key = record[KEY_LENGTH_BYTES:key_end].decode('utf-8', 'replace')
    value = record[key_end:]
    return KeyedRecord(key, value or None, offset)
