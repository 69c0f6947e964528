"""Session pins as they are logged, sent to peers and put into tokens."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class SessionKey:
    """Identify a session: its workspace, its model and its name."""

    workspace: str
    model: str
    session: str


class Pin(msgspec.Struct, frozen=True):
    """The model version that a session is bound to.

    `generation` counts the moves since the session's first pin, and
    `replaces` is the version before the last move. `host` created the pin
    at `proposed_ms`, in ms since 1970. `row_revision` is the revision of
    the version's table row as that host knew it, None if unknown.
    """

    workspace: str
    model: str
    session: str
    version: str
    generation: int
    proposed_ms: int
    host: str
    replaces: str = ''
    row_revision: int | None = None

    @property
    def key(self) -> SessionKey:
        """Return the key of the pinned session."""
        return SessionKey(self.workspace, self.model, self.session)

    def follows(self, other: 'Pin') -> bool:
        """Return whether this pin is the next move after the other pin."""
        return (
            self.generation == other.generation + 1
            and self.replaces == other.version
        )


class PinEntry(msgspec.Struct, frozen=True):
    """A pin and the log time in ms at which it was last set or renewed."""

    pin: Pin
    touched_ms: int


class PinSnapshot(msgspec.Struct, frozen=True):
    """All pins, and the newest log time in ms, as kept in a snapshot."""

    newest_ms: int
    pins: tuple[PinEntry, ...]


class SessionStatus(msgspec.Struct, frozen=True):
    """The numbers of pins that are on the log and not on the log yet."""

    pinned: int
    unlogged: int
