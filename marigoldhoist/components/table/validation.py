"""Validation of edits and of the consistency between rows."""

from collections.abc import Iterator

import msgspec

from marigoldhoist.components.table.const import (
    EVERY_VERSION,
    MODEL,
    SESSION,
    VERSION,
    WORKSPACE,
)
from marigoldhoist.components.table.errors import InvalidTableError
from marigoldhoist.components.table.models import (
    DELETED_CONTENT,
    AnyRow,
    ModelRow,
    RowEdit,
    SessionRow,
    StoredRow,
    VersionRow,
    WorkspaceRow,
    row_type_by_kind,
)
from marigoldhoist.core.decoding import decode_json


def decode_row(edit: RowEdit) -> AnyRow | None:
    """Decode the content of an edit; None if the edit deletes the row.

    Raises InvalidTableError if the kind is unknown or the content does not
    match the row type.
    """
    kind, _, _ = edit.key.partition('/')
    row_type = row_type_by_kind.get(kind)
    if row_type is None:
        allowed = ', '.join(row_type_by_kind)
        raise InvalidTableError(f'{edit.key}: kind must be one of {allowed}')
    if bytes(edit.content) == bytes(DELETED_CONTENT):
        return None
    try:
        return decode_json(edit.content, row_type)
    except msgspec.MsgspecError as error:
        raise InvalidTableError(f'{edit.key}: {error}') from error


def check_table(rows_by_key: dict[str, StoredRow]) -> None:
    """Raise InvalidTableError with the first violation found, if any."""
    violation = next(_violations(rows_by_key), None)
    if violation is not None:
        raise InvalidTableError(violation)


def _violations(rows_by_key: dict[str, StoredRow]) -> Iterator[str]:
    for key, stored in rows_by_key.items():
        _, _, name = key.partition('/')
        match stored.row:
            case ModelRow() as model:
                yield from _model_violations(name, model, rows_by_key)
            case WorkspaceRow() as workspace:
                yield from _workspace_violations(name, workspace, rows_by_key)
            case VersionRow() as version:
                yield from _version_violations(name, version, rows_by_key)
            case SessionRow() as session:
                yield from _session_violations(name, session, rows_by_key)


def _model_violations(
    name: str, row: ModelRow, rows_by_key: dict[str, StoredRow]
) -> Iterator[str]:
    if not any(row.weights_by_version.values()):
        yield f'{MODEL}/{name}: weights sum to nothing'
    if len(set(row.cascade)) != len(row.cascade):
        yield f'{MODEL}/{name}: cascade names a version twice'
    for version in (*row.weights_by_version, *row.cascade):
        if f'{VERSION}/{name}/{version}' not in rows_by_key:
            yield f'{MODEL}/{name}: unknown version {version!r}'
    yield from _roll_out_violations(name, row)


def _roll_out_violations(name: str, row: ModelRow) -> Iterator[str]:
    roll_out = row.roll_out
    if roll_out is None:
        return
    if roll_out.version not in (*row.weights_by_version, *row.cascade):
        yield f'{MODEL}/{name}: rolled out version has no weight'
    if list(roll_out.steps) != sorted(set(roll_out.steps)):
        yield f'{MODEL}/{name}: steps of the roll-out must rise'
    if roll_out.step >= len(roll_out.steps):
        yield f'{MODEL}/{name}: the roll-out has no step {roll_out.step}'


def _workspace_violations(
    name: str, row: WorkspaceRow, rows_by_key: dict[str, StoredRow]
) -> Iterator[str]:
    for model, versions in row.versions_by_model.items():
        if f'{MODEL}/{model}' not in rows_by_key:
            yield f'{WORKSPACE}/{name}: unknown model {model!r}'
        for version in versions:
            known = f'{VERSION}/{model}/{version}' in rows_by_key
            if version != EVERY_VERSION and not known:
                yield f'{WORKSPACE}/{name}: unknown version {version!r}'


def _version_violations(
    name: str, row: VersionRow, rows_by_key: dict[str, StoredRow]
) -> Iterator[str]:
    model, _, own_name = name.partition('/')
    if not own_name:
        yield f'{VERSION}/{name}: name must be model/version'
    if not row.successor:
        return
    successor = row.successor
    seen = {own_name}
    while successor:
        if successor in seen:
            yield f'{VERSION}/{name}: successors form a loop'
            return
        seen.add(successor)
        stored = rows_by_key.get(f'{VERSION}/{model}/{successor}')
        if stored is None or not isinstance(stored.row, VersionRow):
            yield f'{VERSION}/{name}: unknown successor {successor!r}'
            return
        successor = stored.row.successor


def _session_violations(
    name: str, row: SessionRow, rows_by_key: dict[str, StoredRow]
) -> Iterator[str]:
    workspace, _, own_name = name.partition('/')
    if not own_name:
        yield f'{SESSION}/{name}: name must be workspace/session'
    if f'{WORKSPACE}/{workspace}' not in rows_by_key:
        yield f'{SESSION}/{name}: unknown workspace {workspace!r}'
    if f'{VERSION}/{row.model}/{row.version}' not in rows_by_key:
        yield f'{SESSION}/{name}: unknown version {row.version!r}'
