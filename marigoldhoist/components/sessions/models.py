"""Pins of sessions to versions, as they cross the wire."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class SessionKey:
    """A session of a workspace at one model."""

    workspace: str
    model: str
    session: str


class Pin(msgspec.Struct, frozen=True):
    """The version of a session.

    The generation counts the moves since the first pin; a move names the
    version that it replaces. The row revision is that of the version's row
    in the table that the author saw, none where it is not known.
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
        """Return the session that is pinned."""
        return SessionKey(self.workspace, self.model, self.session)

    def follows(self, other: 'Pin') -> bool:
        """Tell whether this pin is the move after the other."""
        return (
            self.generation == other.generation + 1
            and self.replaces == other.version
        )


class KeptPin(msgspec.Struct, frozen=True):
    """One pin in a snapshot."""

    pin: Pin
    touched_ms: int


class KeptPins(msgspec.Struct, frozen=True):
    """Every pin in a snapshot."""

    newest_ms: int
    pins: tuple[KeptPin, ...]


class SessionStatus(msgspec.Struct, frozen=True):
    """Sessions on the log, and those that are not on it yet."""

    pinned: int
    unlogged: int
