"""Find the workspace that a caller's key belongs to."""

import hashlib
import hmac

from marigoldhoist.components.table.const import WORKSPACE
from marigoldhoist.components.table.models import WorkspaceRow
from marigoldhoist.components.table.state import TableState


def key_digest(key: str) -> str:
    """Return the digest that the table stores for a key."""
    return hashlib.sha256(key.encode()).hexdigest()


class Credentials:
    """Workspaces by key digest, rebuilt when the table changes."""

    def __init__(self) -> None:
        self._revision: int | None = None
        self._workspace_by_digest: dict[str, str] = {}

    def workspace_of(self, key: str, state: TableState) -> str | None:
        """Return the workspace whose key this is."""
        self._refresh(state)
        digest = key_digest(key)
        found = None
        for stored, workspace in self._workspace_by_digest.items():
            if hmac.compare_digest(stored, digest):
                found = workspace
        return found

    def _refresh(self, state: TableState) -> None:
        if self._revision == state.revision:
            return
        self._workspace_by_digest = {
            digest: key.removeprefix(f'{WORKSPACE}/')
            for key, stored in state.rows_by_key.items()
            if isinstance(stored.row, WorkspaceRow)
            for digest in stored.row.key_digests
        }
        self._revision = state.revision
