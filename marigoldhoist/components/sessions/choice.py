"""Compute the version of a session from the table alone."""

from marigoldhoist.components.routing.versions import (
    pick_by_weight,
    usable_weights,
)
from marigoldhoist.components.sessions.models import Pin, SessionKey
from marigoldhoist.components.table.state import TableState


def is_usable(state: TableState, key: SessionKey, version: str) -> bool:
    """Tell whether the session's workspace may use the version now."""
    workspace = state.workspace(key.workspace)
    return (
        workspace is not None
        and workspace.allows(key.model, version)
        and state.takes_work(key.model, version)
    )


def operators_version(state: TableState, key: SessionKey) -> str:
    """Return the version of the session's row, empty where none is usable."""
    row = state.session(key.workspace, key.session)
    if row is None or row.model != key.model:
        return ''
    return row.version if is_usable(state, key, row.version) else ''


def first_version(state: TableState, key: SessionKey) -> str:
    """Return a new session's version, empty where none takes work."""
    weights = usable_weights(state, key.workspace, key.model)
    if not weights:
        return ''
    return pick_by_weight(weights, f'{key.workspace}\0{key.session}')


def successor(state: TableState, pin: Pin) -> str:
    """Return the version that follows an unusable one, empty for none."""
    following = state.successor_of(
        pin.workspace, pin.model, pin.version, pin.session
    )
    if following and is_usable(state, pin.key, following):
        return following
    return first_version(state, pin.key)
