"""Decide which version a session gets while a roll-out is under way.

Answers the load of sessions that reach several daemons: fresh sessions get
the same version at every daemon, and one that is under way keeps its version
until the new one has proved good.
"""

import collections
import dataclasses
from typing import Final

import xxhash

from marigoldhoist.components.canary.const import (
    ALL_MOVED_AT,
    CANARY_PART,
    CANARY_UNTIL,
    REMEMBERED_SESSIONS,
)

HASH_RANGE: Final = 1 << 64


@dataclasses.dataclass(frozen=True, slots=True)
class SessionUse:
    """The version that a session had last, and when, as a boot time."""

    version: str
    used_s: float


class SessionMemory:
    """The sessions that this daemon served lately."""

    def __init__(self, gap_s: float) -> None:
        self._gap_s = gap_s
        self._use_by_session: collections.OrderedDict[str, SessionUse] = (
            collections.OrderedDict()
        )

    def note(self, session: str, version: str, now_s: float) -> None:
        """Note that a session uses a version now."""
        self._use_by_session[session] = SessionUse(version, now_s)
        self._use_by_session.move_to_end(session)
        while len(self._use_by_session) > REMEMBERED_SESSIONS:
            self._use_by_session.popitem(last=False)

    def version_of(self, session: str, now_s: float) -> str:
        """Return the version of a session under way, empty for none."""
        use = self._use_by_session.get(session)
        if use is None or now_s - use.used_s > self._gap_s:
            return ''
        return use.version


def share_of_target(progress: float, canary_share: float) -> float:
    """Return the part of the sessions that get the new version."""
    if progress < 0:
        return 0
    if progress < CANARY_UNTIL:
        return canary_share * CANARY_PART
    ramp = (progress - CANARY_UNTIL) / (ALL_MOVED_AT - CANARY_UNTIL)
    return min(1, max(canary_share * CANARY_PART, ramp))


def is_moved(
    position: float,
    progress: float,
    canary_share: float,
    *,
    is_under_way: bool,
) -> bool:
    """Tell whether a session gets the new version.

    One that is under way on the old version stays there while the new one is
    tried.
    """
    if is_under_way and progress < CANARY_UNTIL:
        return False
    return position < share_of_target(progress, canary_share)


def position_of(session: str) -> float:
    """Return the session's place in 0 to 1, the same at every daemon."""
    return xxhash.xxh3_64_intdigest(session.encode()) / HASH_RANGE
