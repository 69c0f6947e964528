"""Errors of the table component."""

import dataclasses

from marigoldhoist.core.errors import MarigoldhoistError


class InvalidTableError(MarigoldhoistError):
    """A change is malformed or would break a rule of the table.

    After a write conflict, `winner` is the revision of the stored row, or
    `NO_REVISION` if the row does not exist (any more).
    """

    winner: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRejected:
    """A change was rejected and had no effect.

    After a write conflict, `winner` is the revision of the stored row (the
    log offset of the change that wrote it), or `NO_REVISION` if the row does
    not exist (any more).
    """

    reason: str
    winner: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUnknown:
    """The outcome of a change is not known yet; it may still be accepted."""

    reason: str
