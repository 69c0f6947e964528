"""Response bodies of the operator API."""

from typing import Any

import msgspec

from marigoldhoist.components.table.models import AnyRow


class DaemonStatus(msgspec.Struct, frozen=True):
    """The status of one daemon and of its services."""

    host: str
    failure_domain: str
    version: str
    is_ready: bool
    table_revision: int
    services_by_name: dict[str, Any]


class FleetStatus(msgspec.Struct, frozen=True):
    """Daemons that answered, and names of listed daemons that did not."""

    daemons: tuple[DaemonStatus, ...]
    unreachable: tuple[str, ...]


class RowView(msgspec.Struct, frozen=True):
    """A table row and its revision, which a change of it must state."""

    key: str
    revision: int
    row: AnyRow


class TableView(msgspec.Struct, frozen=True):
    """The table in force."""

    revision: int
    rows: tuple[RowView, ...]


class ChangeOutcome(msgspec.Struct, frozen=True):
    """The outcome of a table change: accepted, rejected or unknown."""

    outcome: str
    offset: int | None = None
    reason: str = ''
    winner: int | None = None
