"""The table at one revision, as the rest of the daemon reads it."""

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
    """All rows after the change at one offset; never altered."""

    revision: int = NO_REVISION
    rows_by_key: dict[str, StoredRow] = dataclasses.field(default_factory=dict)
    tombstones_by_key: TombstonesByKey = dataclasses.field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Tell whether no change has been accepted yet."""
        return self.revision == NO_REVISION

    def workspace(self, name: str) -> WorkspaceRow | None:
        """Return the workspace's row."""
        return self._row(WORKSPACE, name, WorkspaceRow)

    def model(self, name: str) -> ModelRow | None:
        """Return the model's row."""
        return self._row(MODEL, name, ModelRow)

    def version(self, model: str, version: str) -> VersionRow | None:
        """Return the row of a model's version."""
        return self._row(VERSION, f'{model}/{version}', VersionRow)

    def version_revision(self, model: str, version: str) -> int:
        """Return the revision of a version's row, `NO_REVISION` for none."""
        stored = self.rows_by_key.get(f'{VERSION}/{model}/{version}')
        return stored.revision if stored else NO_REVISION

    def session(self, workspace: str, session: str) -> SessionRow | None:
        """Return the row that puts the session on a version, if any."""
        return self._row(SESSION, f'{workspace}/{session}', SessionRow)

    def service(self, name: str) -> ServiceRow | None:
        """Return the plain service's row."""
        return self._row(SERVICE, name, ServiceRow)

    def takes_work(self, model: str, version: str) -> bool:
        """Tell whether the version may be given new work."""
        row = self.version(model, version)
        return row is not None and row.state is VersionState.LIVE

    def is_withdrawn(self, model: str, version: str) -> bool:
        """Tell whether the version was withdrawn, also if its row is gone."""
        return f'{VERSION}/{model}/{version}' in self.tombstones_by_key

    def successor_of(
        self, workspace: str, model: str, version: str, session: str
    ) -> str | None:
        """Return the version a session of a version is on by now.

        That is the version itself unless it was withdrawn. A successor that
        is held is returned as well. None where no version is allowed.
        """
        workspace_row = self.workspace(workspace)
        if workspace_row is None:
            return None
        chosen: str | None = version
        # A successor is withdrawn later than the version it follows, if at
        # all, so the chain ends.
        while chosen and self.is_withdrawn(model, chosen):
            tombstone = self.tombstones_by_key[f'{VERSION}/{model}/{chosen}']
            chosen = tombstone.next_version(
                workspace_row, model, f'{workspace}/{session}'
            )
        if chosen is None or self.version(model, chosen) is None:
            return None
        return chosen

    def _row(self, kind: str, name: str, row_type: type[RowT]) -> RowT | None:
        stored = self.rows_by_key.get(f'{kind}/{name}')
        if stored is None or not isinstance(stored.row, row_type):
            return None
        return stored.row
