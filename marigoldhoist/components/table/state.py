"""The table at one revision, with typed lookups for other components."""

import dataclasses
from typing import TypeVar

from marigoldhoist.components.table.const import (
    MODEL,
    NO_REVISION,
    SERVICE,
    SESSION,
    VERSION,
    WORKSPACE,
)
from marigoldhoist.components.table.models import (
    ModelRow,
    ServiceRow,
    SessionRow,
    StoredRow,
    VersionRow,
    VersionState,
    WorkspaceRow,
)
from marigoldhoist.components.table.tombstones import TombstonesByKey

RowT = TypeVar('RowT')


@dataclasses.dataclass(frozen=True, slots=True)
class TableState:
    """Immutable snapshot of all rows and tombstones.

    `revision` is the log offset of the last accepted change.
    """

    revision: int = NO_REVISION
    rows_by_key: dict[str, StoredRow] = dataclasses.field(default_factory=dict)
    tombstones_by_key: TombstonesByKey = dataclasses.field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Return whether no change has been accepted yet."""
        return self.revision == NO_REVISION

    def workspace(self, name: str) -> WorkspaceRow | None:
        """Return the row of a workspace, None if there is none."""
        return self._row(WORKSPACE, name, WorkspaceRow)

    def model(self, name: str) -> ModelRow | None:
        """Return the row of a model, None if there is none."""
        return self._row(MODEL, name, ModelRow)

    def version(self, model: str, version: str) -> VersionRow | None:
        """Return the row of a model's version, None if there is none."""
        return self._row(VERSION, f'{model}/{version}', VersionRow)

    def version_revision(self, model: str, version: str) -> int:
        """Return the revision of a version's row.

        That is `NO_REVISION` if there is no such row.
        """
        stored = self.rows_by_key.get(f'{VERSION}/{model}/{version}')
        return stored.revision if stored else NO_REVISION

    def session(self, workspace: str, session: str) -> SessionRow | None:
        """Return the row that assigns a session to a version, if any."""
        return self._row(SESSION, f'{workspace}/{session}', SessionRow)

    def service(self, name: str) -> ServiceRow | None:
        """Return the row of a plain service, None if there is none."""
        return self._row(SERVICE, name, ServiceRow)

    def takes_work(self, model: str, version: str) -> bool:
        """Return whether the version may receive new requests."""
        row = self.version(model, version)
        return row is not None and row.state is VersionState.LIVE

    def is_withdrawn(self, model: str, version: str) -> bool:
        """Return whether the version was withdrawn or its row deleted."""
        return f'{VERSION}/{model}/{version}' in self.tombstones_by_key

    def successor_of(
        self, workspace: str, model: str, version: str, session: str
    ) -> str | None:
        """Return the version that now serves a session of a version.

        This is the version itself unless it was withdrawn; then the chain of
        successors is followed. The result may be held. None if the workspace
        or the resulting version has no row, or if the workspace may use no
        successor.
        """
        workspace_row = self.workspace(workspace)
        if workspace_row is None:
            return None
        current: str | None = version
        # The loop ends: a successor was not withdrawn when the tombstone
        # chose it, so its own tombstone, if any, is newer.
        while current and self.is_withdrawn(model, current):
            tombstone = self.tombstones_by_key[f'{VERSION}/{model}/{current}']
            current = tombstone.next_version(
                workspace_row, model, f'{workspace}/{session}'
            )
        if current is None or self.version(model, current) is None:
            return None
        return current

    def _row(self, kind: str, name: str, row_type: type[RowT]) -> RowT | None:
        stored = self.rows_by_key.get(f'{kind}/{name}')
        if stored is None or not isinstance(stored.row, row_type):
            return None
        return stored.row
