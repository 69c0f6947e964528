"""Records and messages of the platform's log in their wire format."""

import uuid
from typing import Any

import msgspec

CURRENT_FORMAT = 1
NO_OFFSET = -1


class Record(msgspec.Struct, frozen=True):
    """One record; readers recognize a duplicate append by its id."""

    id: str
    kind: str
    body: msgspec.Raw
    format: int = CURRENT_FORMAT


class LogEntry(msgspec.Struct, frozen=True):
    """A record with its offset and the log's time in ms since 1970."""

    offset: int
    time_ms: int
    record: Record


class ReadReply(msgspec.Struct, frozen=True):
    """Response to a read: entries from the requested offset on.

    `first_offset` is the oldest offset on the log, `next_offset` the one that
    the next appended record gets.
    """

    first_offset: int
    next_offset: int
    entries: tuple[LogEntry, ...]


class AppendRequest(msgspec.Struct, frozen=True):
    """Records to append, in order."""

    records: tuple[Record, ...]


class AppendReply(msgspec.Struct, frozen=True):
    """Offsets of the appended records, in order."""

    offsets: tuple[int, ...]


class FeedDump(msgspec.Struct, frozen=True):
    """State of every part of a stream before the entry at `offset`.

    `last_id` is the record id of the entry before `offset`. `adopted_offset`
    is the offset of the dump that was adopted last after the log had lost its
    tail, `NO_OFFSET` if there was none.
    """

    offset: int
    last_id: str
    dumped_by_part: dict[str, msgspec.Raw]
    adopted_offset: int = NO_OFFSET


class StreamStatus(msgspec.Struct, frozen=True):
    """Position in a stream, and whether the log is reachable or diverged."""

    next_offset: int
    is_log_reachable: bool
    is_diverged: bool


class LogStatus(msgspec.Struct, frozen=True):
    """Status of the streams that this daemon follows."""

    stream_by_name: dict[str, StreamStatus]


def new_record(kind: str, body: Any, record_id: str = '') -> Record:
    """Encode a body as a record, with a random id unless one is given."""
    return Record(
        id=record_id or uuid.uuid4().hex,
        kind=kind,
        body=msgspec.Raw(msgspec.json.encode(body)),
    )
