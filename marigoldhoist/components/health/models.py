"""Messages of the health component."""

import msgspec


class HoldNotice(msgspec.Struct, frozen=True):
    """A version that was found bad and is held, as published to peers.

    `revision` is the revision of the version's row when it was found bad.
    """

    model: str
    version: str
    reason: str
    revision: int


class HealthStatus(msgspec.Struct, frozen=True):
    """Versions held locally, as `model/version`, for operators."""

    held: tuple[str, ...]
