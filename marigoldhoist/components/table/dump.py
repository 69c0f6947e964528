"""Serialize the table into a snapshot and load it again."""

import msgspec

from marigoldhoist.components.table.audit import AuditEntry
from marigoldhoist.components.table.models import (
    AnyRow,
    StoredRow,
    row_type_by_kind,
)
from marigoldhoist.components.table.state import TableState
from marigoldhoist.components.table.tombstones import TombstonesByKey
from marigoldhoist.core.decoding import decode_json


class DumpedRow(msgspec.Struct, frozen=True):
    """A serialized row and its revision.

    The row type follows from the kind in the row's key.
    """

    revision: int
    row: msgspec.Raw


class DumpedTable(msgspec.Struct, frozen=True):
    """Serialized state of the table: rows, tombstones and audit trail."""

    revision: int
    rows_by_key: dict[str, DumpedRow]
    tombstones_by_key: TombstonesByKey
    audit: tuple[AuditEntry, ...]


def dump_table(state: TableState, audit: tuple[AuditEntry, ...]) -> msgspec.Raw:
    """Encode a table and its audit trail as JSON."""
    rows_by_key = {
        key: DumpedRow(
            stored.revision, msgspec.Raw(msgspec.json.encode(stored.row))
        )
        for key, stored in state.rows_by_key.items()
    }
    dumped = DumpedTable(
        state.revision, rows_by_key, state.tombstones_by_key, audit
    )
    return msgspec.Raw(msgspec.json.encode(dumped))


def load_table(
    dumped: msgspec.Raw,
) -> tuple[TableState, tuple[AuditEntry, ...]]:
    """Decode the output of `dump_table`.

    Raises msgspec.MsgspecError if the content does not match the schema.
    """
    table = decode_json(dumped, DumpedTable)
    rows_by_key = {
        key: StoredRow(stored.revision, _decode_row(key, stored.row))
        for key, stored in table.rows_by_key.items()
    }
    state = TableState(table.revision, rows_by_key, table.tombstones_by_key)
    return state, table.audit


def _decode_row(key: str, content: msgspec.Raw) -> AnyRow:
    kind = key.partition('/')[0]
    return decode_json(content, row_type_by_kind[kind])
