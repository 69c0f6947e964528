"""Tombstones of withdrawn versions, and the successors they fix.

A tombstone outlives its row. It keeps the weights of the model's live
versions at the withdrawing change, so that a later change of weights moves
no session a second time. Where no version was live, the first later change
that makes one live fixes them.
"""

import dataclasses
from collections.abc import Iterator, Mapping

from marigoldhoist.components.table.const import MODEL, VERSION
from marigoldhoist.components.table.errors import InvalidTableError
from marigoldhoist.components.table.models import (
    ModelRow,
    StoredRow,
    VersionRow,
    VersionState,
    WorkspaceRow,
)
from marigoldhoist.core.rendezvous import pick_by_weight

RowsByKey = Mapping[str, StoredRow]


@dataclasses.dataclass(frozen=True, slots=True)
class Tombstone:
    """A withdrawn version: the offset of its withdrawal and what follows."""

    offset: int
    successor: str = ''
    weights_by_version: dict[str, int] = dataclasses.field(default_factory=dict)

    def next_version(
        self, workspace: WorkspaceRow, model: str, key: str
    ) -> str | None:
        """Return the version that follows for a session, if one is allowed."""
        if self.successor and workspace.allows(model, self.successor):
            return self.successor
        allowed = {
            version: weight
            for version, weight in self.weights_by_version.items()
            if workspace.allows(model, version)
        }
        return pick_by_weight(allowed, key) if allowed else None


TombstonesByKey = dict[str, Tombstone]


def check_withdrawals(
    before: RowsByKey, after: RowsByKey, tombstones_by_key: TombstonesByKey
) -> None:
    """Raise InvalidTableError where a withdrawn version would come back."""
    for key in sorted(tombstones_by_key.keys() & after.keys()):
        fault = _fault(before.get(key), after[key])
        if fault:
            raise InvalidTableError(f'{key}: {fault}')


def _fault(stored: StoredRow | None, changed: StoredRow) -> str:
    row = changed.row
    if not isinstance(row, VersionRow) or not _is_withdrawn(row):
        return 'a withdrawn version is final'
    if stored is None:
        return 'the name of a withdrawn version cannot be used again'
    if _successor_named(stored) != row.successor:
        return 'the successor of a withdrawn version is fixed'
    return ''


def buried(
    before: RowsByKey,
    after: RowsByKey,
    tombstones_by_key: TombstonesByKey,
    offset: int,
) -> TombstonesByKey:
    """Return the tombstones after the change at offset."""
    kept = dict(tombstones_by_key)
    for key, stored in _withdrawn(before, after):
        if key not in kept:
            successor = _live_successor(key, stored, after)
            kept[key] = Tombstone(offset, successor)
    for key, tombstone in kept.items():
        if not tombstone.weights_by_version:
            kept[key] = dataclasses.replace(
                tombstone, weights_by_version=_live_weights(key, after)
            )
    return kept


def _withdrawn(
    before: RowsByKey, after: RowsByKey
) -> Iterator[tuple[str, StoredRow]]:
    for key, stored in after.items():
        row = stored.row
        if isinstance(row, VersionRow) and _is_withdrawn(row):
            yield key, stored
    for gone in before.keys() - after.keys():
        if isinstance(before[gone].row, VersionRow):
            yield gone, before[gone]


def _is_withdrawn(row: VersionRow) -> bool:
    return row.state is VersionState.WITHDRAWN


def _successor_named(stored: StoredRow) -> str:
    return stored.row.successor if isinstance(stored.row, VersionRow) else ''


def _live_successor(key: str, stored: StoredRow, after: RowsByKey) -> str:
    named = _successor_named(stored)
    model_key = key.rpartition('/')[0]
    found = after.get(f'{model_key}/{named}')
    if found is None or not isinstance(found.row, VersionRow):
        return ''
    return '' if _is_withdrawn(found.row) else named


def _live_weights(key: str, after: RowsByKey) -> dict[str, int]:
    model = key.removeprefix(f'{VERSION}/').rpartition('/')[0]
    stored = after.get(f'{MODEL}/{model}')
    if stored is None or not isinstance(stored.row, ModelRow):
        return {}
    return {
        version: weight
        for version, weight in stored.row.weights_by_version.items()
        if weight and _is_live(after.get(f'{VERSION}/{model}/{version}'))
    }


def _is_live(stored: StoredRow | None) -> bool:
    if stored is None or not isinstance(stored.row, VersionRow):
        return False
    return stored.row.state is VersionState.LIVE
