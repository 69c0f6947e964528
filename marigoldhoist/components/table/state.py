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
    AnyRow,
    ModelRow,
    ServiceRow,
    SessionRow,
    VersionRow,
    VersionState,
    WorkspaceRow,
)

RowT = TypeVar('RowT')


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row and the offset of the change that wrote it."""

    revision: int
    row: AnyRow


@dataclasses.dataclass(frozen=True, slots=True)
class TableState:
    """All rows after the change at one offset; never altered."""

    revision: int = NO_REVISION
    rows_by_key: dict[str, StoredRow] = dataclasses.field(default_factory=dict)

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

    def _row(self, kind: str, name: str, row_type: type[RowT]) -> RowT | None:
        stored = self.rows_by_key.get(f'{kind}/{name}')
        if stored is None or not isinstance(stored.row, row_type):
            return None
        return stored.row
