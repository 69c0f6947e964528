"""Messages of the relay component."""

import msgspec

from marigoldhoist.components.platform_log.models import LogEntry


class Positions(msgspec.Struct, frozen=True):
    """The next offset of each stream that the sender has folded."""

    next_offset_by_stream: dict[str, int]


class Fetch(msgspec.Struct, frozen=True):
    """Ask for entries of a stream from an offset on.

    The last id is that of the entry before it, if there is one; a peer with
    another one there holds another history.
    """

    stream: str
    offset: int
    last_id: str = ''


class Fetched(msgspec.Struct, frozen=True):
    """Entries with their offsets; too old ones need a snapshot."""

    entries: tuple[LogEntry, ...]
    is_too_old: bool = False
