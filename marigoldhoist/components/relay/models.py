"""Messages of the relay component."""

import msgspec

from marigoldhoist.components.platform_log.models import LogEntry


class Positions(msgspec.Struct, frozen=True):
    """The next offset of each stream that the sender has folded."""

    next_offset_by_stream: dict[str, int]


class Fetch(msgspec.Struct, frozen=True):
    """Ask for entries of a stream from an offset on."""

    stream: str
    offset: int


class Fetched(msgspec.Struct, frozen=True):
    """Entries with their offsets, or none where they are too old."""

    entries: tuple[LogEntry, ...]
