"""Records on the platform's log, as they cross the wire."""

import uuid
from typing import Any

import msgspec

CURRENT_FORMAT = 1
NO_OFFSET = -1


class Record(msgspec.Struct, frozen=True):
    """One record; the id makes a second append of it recognisable."""

    id: str
    kind: str
    body: msgspec.Raw
    format: int = CURRENT_FORMAT


class LogEntry(msgspec.Struct, frozen=True):
    """A record with the offset and time (ms since 1970) the log gave it."""

    offset: int
    time_ms: int
    record: Record


class ReadReply(msgspec.Struct, frozen=True):
    """Answer to a read: entries from the asked offset on."""

    first_offset: int
    next_offset: int
    entries: tuple[LogEntry, ...]


class AppendRequest(msgspec.Struct, frozen=True):
    """Records to append, in order."""

    records: tuple[Record, ...]


class AppendReply(msgspec.Struct, frozen=True):
    """Offsets the records were given, in order."""

    offsets: tuple[int, ...]


class FeedDump(msgspec.Struct, frozen=True):
    """The state of every part of a stream before the entry at offset.

    The last id is that of the entry before it. A dump that was adopted
    after the log had lost its tail is named by the offset it was taken at.
    """

    offset: int
    last_id: str
    dumped_by_part: dict[str, msgspec.Raw]
    adopted_offset: int = NO_OFFSET


class StreamStatus(msgspec.Struct, frozen=True):
    """How far a stream is folded, and whether the log can be followed."""

    next_offset: int
    is_log_reachable: bool
    is_diverged: bool


class LogStatus(msgspec.Struct, frozen=True):
    """The streams this daemon follows."""

    stream_by_name: dict[str, StreamStatus]


def new_record(kind: str, body: Any, record_id: str = '') -> Record:
    """Encode a body as a record, under a new id unless one is given."""
    return Record(
        id=record_id or uuid.uuid4().hex,
        kind=kind,
        body=msgspec.Raw(msgspec.json.encode(body)),
    )
