"""Compute the version of a session without its pin."""

from marigoldhoist.components.routing.rules import VersionRules
from marigoldhoist.components.sessions.models import Pin, SessionKey


def operators_version(rules: VersionRules, key: SessionKey) -> str:
    """Return the version of the session's row, empty where none is usable."""
    row = rules.state.session(key.workspace, key.session)
    if row is None or row.model != key.model:
        return ''
    is_usable = rules.is_usable(key.workspace, key.model, row.version)
    return row.version if is_usable else ''


def first_version(rules: VersionRules, key: SessionKey) -> str:
    """Return a new session's version, empty where none takes work."""
    name = f'{key.workspace}\0{key.session}'
    return rules.pick(key.workspace, key.model, name)


def successor(rules: VersionRules, pin: Pin) -> str:
    """Return the version that follows an unusable one, empty for none."""
    following = rules.state.successor_of(
        pin.workspace, pin.model, pin.version, pin.session
    )
    if following and rules.is_usable(pin.workspace, pin.model, following):
        return following
    return first_version(rules, pin.key)
