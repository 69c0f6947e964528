"""Select the version of a session from the configuration table."""

from marigoldhoist.components.routing.rules import VersionRules
from marigoldhoist.components.sessions.models import Pin, SessionKey


def operator_version(rules: VersionRules, key: SessionKey) -> str:
    """Return the version that the session's table row sets.

    Empty if the session has no row for this model, or if the workspace
    can't use the version now.
    """
    row = rules.state.session(key.workspace, key.session)
    if row is None or row.model != key.model:
        return ''
    is_usable = rules.is_usable(key.workspace, key.model, row.version)
    return row.version if is_usable else ''


def initial_version(rules: VersionRules, key: SessionKey) -> str:
    """Return a new session's version, empty if no version is usable.

    The choice is weighted and is stable for a workspace and session.
    """
    name = f'{key.workspace}\0{key.session}'
    return rules.pick(key.workspace, key.model, name)


def successor_version(rules: VersionRules, pin: Pin) -> str:
    """Return the replacement for a pin's unusable version.

    This is the successor that the table names if it is usable, else the
    version of a new session. Empty if no version is usable.
    """
    next_version = rules.state.successor_of(
        pin.workspace, pin.model, pin.version, pin.session
    )
    if next_version and rules.is_usable(pin.workspace, pin.model, next_version):
        return next_version
    return initial_version(rules, pin.key)
