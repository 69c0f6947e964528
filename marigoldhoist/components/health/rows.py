"""Table rows that the health component reads, and the change it submits."""

import msgspec

from marigoldhoist.components.health.const import AUTHOR
from marigoldhoist.components.health.models import HoldNotice
from marigoldhoist.components.table.const import MODEL, VERSION
from marigoldhoist.components.table.models import (
    ModelRow,
    RowEdit,
    TableChange,
    VersionState,
)
from marigoldhoist.components.table.state import TableState


def versions_by_model(state: TableState) -> dict[str, tuple[str, ...]]:
    """Return the versions of each model, with its cascade first."""
    return {
        key.removeprefix(f'{MODEL}/'): _ordered_versions(stored.row)
        for key, stored in state.rows_by_key.items()
        if isinstance(stored.row, ModelRow)
    }


def version_revision(state: TableState, model: str, version: str) -> int | None:
    """Return the revision of a version's row, or None without a row."""
    stored = state.rows_by_key.get(f'{VERSION}/{model}/{version}')
    return stored.revision if stored else None


def hold_change(state: TableState, notice: HoldNotice) -> TableChange | None:
    """Return the change that holds a version, or None without a row."""
    row = state.version(notice.model, notice.version)
    if row is None:
        return None
    held = msgspec.structs.replace(row, state=VersionState.HELD)
    edit = RowEdit(
        f'{VERSION}/{notice.model}/{notice.version}',
        msgspec.Raw(msgspec.json.encode(held)),
        notice.revision,
    )
    return TableChange(AUTHOR, (edit,), notice.reason)


def _ordered_versions(row: ModelRow) -> tuple[str, ...]:
    rest = [name for name in row.weights_by_version if name not in row.cascade]
    return (*row.cascade, *rest)
