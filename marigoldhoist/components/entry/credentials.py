"""Look up the workspace of a caller's API key."""

import hashlib
import hmac

from marigoldhoist.components.table.const import WORKSPACE
from marigoldhoist.components.table.models import WorkspaceRow
from marigoldhoist.components.table.state import TableState


def key_digest(key: str) -> str:
    """Return the SHA-256 hex digest under which the table stores a key."""
    return hashlib.sha256(key.encode()).hexdigest()


class Credentials:
    """Maps key digests to workspaces; rebuilt when the table changes."""

    def __init__(self) -> None:
        self._revision: int | None = None
        self._workspace_by_digest: dict[str, str] = {}

    def find_workspace(self, key: str, state: TableState) -> str | None:
        """Return the name of the workspace that owns a key.

        Compares the key with every digest in constant time.
        """
        self._refresh(state)
        digest = key_digest(key)
        match = None
        for stored, workspace in self._workspace_by_digest.items():
            if hmac.compare_digest(stored, digest):
                match = workspace
        return match

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
