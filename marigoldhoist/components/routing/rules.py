"""Decide which versions a workspace may use and assign keys to them."""

from typing import Protocol

from result import Result

from marigoldhoist.components.routing.holds import Holds
from marigoldhoist.components.routing.versions import (
    pick_by_weight,
    usable_weights,
    within_roll_out,
)
from marigoldhoist.components.table.state import TableState
from marigoldhoist.core.errors import RequestFailure
from marigoldhoist.core.exchange import CallerRequest


class TableProvider(Protocol):
    """Provides the current table."""

    @property
    def state(self) -> TableState:
        """Return the current table."""


class SessionVersions(Protocol):
    """Keeps each session on its version."""

    def choose(self, request: CallerRequest) -> Result[str, RequestFailure]:
        """Return the version of the request's session."""

    def token_of(self, request: CallerRequest) -> str:
        """Return the token of the request's session, empty without one."""


class VersionRules:
    """Applies the table and the holds that it does not show yet."""

    def __init__(self, table: TableProvider, holds: Holds) -> None:
        self._table = table
        self._holds = holds

    @property
    def state(self) -> TableState:
        """Return the current table."""
        return self._table.state

    def is_usable(self, workspace: str, model: str, version: str) -> bool:
        """Return whether the workspace may use the version now."""
        state = self.state
        row = state.workspace(workspace)
        return (
            row is not None
            and row.allows(model, version)
            and state.takes_work(model, version)
            and not self._is_held(workspace, model, version)
        )

    def row_revision(self, model: str, version: str) -> int:
        """Return the revision of a version's row, `NO_REVISION` without one."""
        return self.state.version_revision(model, version)

    def pick(self, workspace: str, model: str, key: str) -> str:
        """Return the version that the key is assigned to by weight.

        It is empty if no version takes work.
        """
        weights = self._weights(workspace, model)
        weights = within_roll_out(self.state.model(model), weights, key)
        return pick_by_weight(weights, key) if weights else ''

    def _is_held(self, workspace: str, model: str, version: str) -> bool:
        # If every version is held, the holds are ignored.
        return self._holds.is_held(
            model, version
        ) and version not in self._weights(workspace, model)

    def _weights(self, workspace: str, model: str) -> dict[str, int]:
        weights = usable_weights(self.state, workspace, model)
        return self._holds.without_held(model, weights)
