"""Messages of the health component."""

import msgspec


class HoldNotice(msgspec.Struct, frozen=True):
    """A version found bad, and the revision of its row at that time."""

    model: str
    version: str
    reason: str
    revision: int


class HealthStatus(msgspec.Struct, frozen=True):
    """Versions held by this daemon that the table does not hold yet."""

    held: tuple[str, ...]
