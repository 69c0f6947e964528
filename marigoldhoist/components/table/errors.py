"""Errors of the table component."""

import dataclasses

from marigoldhoist.core.errors import MarigoldhoistError


class InvalidTableError(MarigoldhoistError):
    """A change is malformed or would make the table illegal."""

    winner: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRejected:
    """The fold rejected a change; the winner's offset where it lost a race."""

    reason: str
    winner: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUnknown:
    """Nobody knows yet whether the change was accepted."""

    reason: str
