"""Decide which version a session gets while a roll-out is under way.

Answers the load of sessions that reach several daemons: fresh sessions get
the same version at every daemon, and one that is under way keeps its version
until the new one has proved good.
"""

import collections
import dataclasses
from collections.abc import Iterator

import xxhash

from marigoldhoist.components.canary.const import (
    END_PART,
    LATEST_END_PART,
    MOVE_PART,
    REMEMBERED_SESSIONS,
    TRIED_PART,
)
from marigoldhoist.core.rendezvous import HASH_RANGE


@dataclasses.dataclass(frozen=True, slots=True)
class SessionUse:
    """The version that a session had last, and when, as a boot time."""

    version: str
    used_s: float
    position: float


class SessionMemory:
    """The sessions that this daemon served lately."""

    def __init__(self, gap_s: float) -> None:
        self._gap_s = gap_s
        self._use_by_session: collections.OrderedDict[str, SessionUse] = (
            collections.OrderedDict()
        )

    def note(self, session: str, version: str, now_s: float) -> None:
        """Note that a session uses a version now."""
        known = self._use_by_session.get(session)
        position = known.position if known else position_of(session)
        self._use_by_session[session] = SessionUse(version, now_s, position)
        self._use_by_session.move_to_end(session)
        while len(self._use_by_session) > REMEMBERED_SESSIONS:
            self._use_by_session.popitem(last=False)

    def under_way(
        self, below: float, target: str, now_s: float
    ) -> Iterator[float]:
        """Yield the positions below that of sessions on other versions."""
        for use in self._use_by_session.values():
            is_in_use = now_s - use.used_s <= self._gap_s
            if use.position < below and use.version != target and is_in_use:
                yield use.position

    def version_of(self, session: str, now_s: float) -> str:
        """Return the version of a session under way, empty for none."""
        use = self._use_by_session.get(session)
        if use is None or now_s - use.used_s > self._gap_s:
            return ''
        return use.version


@dataclasses.dataclass(frozen=True, slots=True)
class MovePlan:
    """When sessions move, in parts of the time allowed for a roll-out.

    Answers versions that are bad only under a load which did not come while
    they were tried: all are moved as late as the promised share asks for.
    """

    canary_share: float

    @property
    def tried_share(self) -> float:
        """Return the part of the sessions that try the new version."""
        return TRIED_PART * self.canary_share

    @property
    def all_moved_at(self) -> float:
        """Return when no session is left on the old version."""
        return 1 - END_PART * self.canary_share

    @property
    def move_begins_at(self) -> float:
        """Return when more sessions than the first few begin to move."""
        # On average half of the sessions have moved during the move.
        return self.all_moved_at - 2 * MOVE_PART * self.canary_share

    @property
    def latest_end_at(self) -> float:
        """Return when requests of the old version are waited for no more."""
        return 1 - END_PART * (1 - LATEST_END_PART) * self.canary_share

    def share_of_target(self, progress: float) -> float:
        """Return the part of the sessions that get the new version."""
        if progress < 0:
            return 0
        if progress < self.move_begins_at:
            return self.tried_share
        if progress >= self.all_moved_at:
            return 1
        moved = (progress - self.move_begins_at) / (
            self.all_moved_at - self.move_begins_at
        )
        return max(self.tried_share, moved)

    def is_moved(
        self, position: float, progress: float, *, is_under_way: bool
    ) -> bool:
        """Tell whether a session gets the new version.

        One that is under way on the old version stays there while the new
        one is tried.
        """
        if is_under_way and progress < self.move_begins_at:
            return False
        return position < self.share_of_target(progress)


def position_of(session: str) -> float:
    """Return the session's place in 0 to 1, the same at every daemon."""
    return xxhash.xxh3_64_intdigest(session.encode()) / HASH_RANGE
