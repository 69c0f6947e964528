"""Answers to operators, as they cross the wire."""

from typing import Any

import msgspec

from marigoldhoist.components.table.models import AnyRow


class Status(msgspec.Struct, frozen=True):
    """One daemon at a glance."""

    host: str
    failure_domain: str
    version: str
    is_ready: bool
    table_revision: int
    services_by_name: dict[str, Any]


class Fleet(msgspec.Struct, frozen=True):
    """All daemons that answered, and those listed that did not."""

    daemons: tuple[Status, ...]
    unreachable: tuple[str, ...]


class ShownRow(msgspec.Struct, frozen=True):
    """A row of the table and the revision to name when changing it."""

    key: str
    revision: int
    row: AnyRow


class ShownTable(msgspec.Struct, frozen=True):
    """The table in force."""

    revision: int
    rows: tuple[ShownRow, ...]


class ChangeOutcome(msgspec.Struct, frozen=True):
    """What became of a change: accepted, rejected or unknown."""

    outcome: str
    offset: int | None = None
    reason: str = ''
    winner: int | None = None
