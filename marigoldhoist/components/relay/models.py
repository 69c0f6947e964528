"""Messages of the relay component."""

import msgspec

from marigoldhoist.components.platform_log.models import LogEntry


class Positions(msgspec.Struct, frozen=True):
    """The next log offset of each stream that the sender will apply."""

    next_offset_by_stream: dict[str, int]


class FetchRequest(msgspec.Struct, frozen=True):
    """Request entries of a stream, starting at an offset.

    last_id is the record id of the entry before the offset, or empty if
    there is none. A peer with a different id there has a diverged history.
    """

    stream: str
    offset: int
    last_id: str = ''


class FetchReply(msgspec.Struct, frozen=True):
    """Entries from the requested offset on.

    is_too_old means that the peer no longer retains the requested entry, so
    that the requester needs a snapshot.
    """

    entries: tuple[LogEntry, ...]
    is_too_old: bool = False
