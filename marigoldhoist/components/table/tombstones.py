"""Tombstones of withdrawn versions and the choice of their successors.

A tombstone remains after its row is deleted. It stores the weights that the
model's live versions had right after the withdrawal, so that a later change
of weights does not move a session a second time. If no version was live with
a weight, the first later change after which one is live sets these weights.
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
    """The withdrawal of a version and the candidates for its successor.

    `offset` is the log offset of the withdrawal. An operator may name a
    successor; otherwise each session draws one from the weights.
    """

    offset: int
    successor: str = ''
    weights_by_version: dict[str, int] = dataclasses.field(default_factory=dict)

    def next_version(
        self, workspace: WorkspaceRow, model: str, key: str
    ) -> str | None:
        """Return the successor for a session, None if none is allowed.

        The named successor comes first. Otherwise the session key selects
        one of the versions that the workspace may use, by weight and always
        the same one.
        """
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
    """Reject a change that revives a withdrawn version.

    Raises InvalidTableError, also if the change alters the named successor
    of a withdrawn version or reuses its name after its row was deleted.
    """
    for key in sorted(tombstones_by_key.keys() & after.keys()):
        violation = _withdrawal_violation(before.get(key), after[key])
        if violation:
            raise InvalidTableError(f'{key}: {violation}')


def _withdrawal_violation(stored: StoredRow | None, changed: StoredRow) -> str:
    row = changed.row
    if not isinstance(row, VersionRow) or not _is_withdrawn(row):
        return 'a withdrawn version is final'
    if stored is None:
        return 'the name of a withdrawn version cannot be used again'
    if _configured_successor(stored) != row.successor:
        return 'the successor of a withdrawn version is fixed'
    return ''


def tombstones_after(
    before: RowsByKey,
    after: RowsByKey,
    tombstones_by_key: TombstonesByKey,
    offset: int,
) -> TombstonesByKey:
    """Return the tombstones after the change at the given log offset.

    Adds one for each version that the change withdraws or deletes, and sets
    the weights of tombstones that have none yet.
    """
    updated = dict(tombstones_by_key)
    for key, stored in _withdrawn_versions(before, after):
        if key not in updated:
            successor = _live_successor(key, stored, after)
            updated[key] = Tombstone(offset, successor)
    for key, tombstone in updated.items():
        if not tombstone.weights_by_version:
            updated[key] = dataclasses.replace(
                tombstone, weights_by_version=_live_weights(key, after)
            )
    return updated


def _withdrawn_versions(
    before: RowsByKey, after: RowsByKey
) -> Iterator[tuple[str, StoredRow]]:
    for key, stored in after.items():
        row = stored.row
        if isinstance(row, VersionRow) and _is_withdrawn(row):
            yield key, stored
    for deleted_key in before.keys() - after.keys():
        if isinstance(before[deleted_key].row, VersionRow):
            yield deleted_key, before[deleted_key]


def _is_withdrawn(row: VersionRow) -> bool:
    return row.state is VersionState.WITHDRAWN


def _configured_successor(stored: StoredRow) -> str:
    return stored.row.successor if isinstance(stored.row, VersionRow) else ''


def _live_successor(key: str, stored: StoredRow, after: RowsByKey) -> str:
    configured = _configured_successor(stored)
    model_key = key.rpartition('/')[0]
    successor = after.get(f'{model_key}/{configured}')
    if successor is None or not isinstance(successor.row, VersionRow):
        return ''
    return '' if _is_withdrawn(successor.row) else configured


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
