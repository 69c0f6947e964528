"""Decide which version a session gets during a roll-out.

The requests of one session may reach several daemons. A new session gets the
same version at every daemon, because the choice depends on a hash of the
session. An active session keeps its version during the canary phase.
"""

import collections
import dataclasses
import random
from collections.abc import Iterator

import xxhash

from marigoldhoist.components.canary.const import (
    CANARY_BUDGET_FRACTION,
    CONTROL_SESSION_SHARE,
    DRAIN_FRACTION,
    FINISH_BUDGET_FRACTION,
    MAX_REMEMBERED_SESSIONS,
    RAMP_BUDGET_FRACTION,
)
from marigoldhoist.core.rendezvous import HASH_RANGE


@dataclasses.dataclass(frozen=True, slots=True)
class SessionUse:
    """Last version of a session, and the boot time of its last use.

    `position` is the session's hash position, see `session_position`.
    """

    version: str
    used_s: float
    position: float


class RecentSessions:
    """Sessions that this daemon served recently, with their versions.

    A session is active until it was unused for `gap_s` seconds.
    """

    def __init__(self, gap_s: float) -> None:
        self._gap_s = gap_s
        self._use_by_session: collections.OrderedDict[str, SessionUse] = (
            collections.OrderedDict()
        )

    def record(self, session: str, version: str, now_s: float) -> None:
        """Record that a session uses a version now."""
        known = self._use_by_session.get(session)
        position = known.position if known else session_position(session)
        self._use_by_session[session] = SessionUse(version, now_s, position)
        self._use_by_session.move_to_end(session)
        while len(self._use_by_session) > MAX_REMEMBERED_SESSIONS:
            self._use_by_session.popitem(last=False)

    def active_positions(
        self, below: float, target: str, now_s: float
    ) -> Iterator[float]:
        """Yield positions of sessions that are active on other versions.

        Only positions less than `below` are included.
        """
        for use in self._use_by_session.values():
            is_active = now_s - use.used_s <= self._gap_s
            if use.position < below and use.version != target and is_active:
                yield use.position

    def version_of(self, session: str, now_s: float) -> str:
        """Return the version of an active session, otherwise ''."""
        use = self._use_by_session.get(session)
        if use is None or now_s - use.used_s > self._gap_s:
            return ''
        return use.version


@dataclasses.dataclass(frozen=True, slots=True)
class RampSchedule:
    """Times and shares of a roll-out's traffic shift.

    A roll-out has a canary phase with a constant share of sessions, a linear
    ramp to all sessions but those of the control group, and a rest until the
    deadline. Times are fractions of the allowed time. A version may be bad only
    under a load that does not occur in the canary phase, so the ramp is as late
    as the exposure budget `canary_share` requires.
    """

    canary_share: float

    @property
    def canary_session_share(self) -> float:
        """Return the share of sessions on the target in the canary phase."""
        return CANARY_BUDGET_FRACTION * self.canary_share

    @property
    def ramp_ends_at(self) -> float:
        """Return the time from which all sessions are on the target."""
        return 1 - FINISH_BUDGET_FRACTION * self.canary_share

    @property
    def ramp_starts_at(self) -> float:
        """Return the time at which the canary phase ends."""
        # On average, half of the sessions are on the target in the ramp.
        return self.ramp_ends_at - 2 * RAMP_BUDGET_FRACTION * self.canary_share

    @property
    def drain_ends_at(self) -> float:
        """Return when to stop waiting for in-flight old-version requests."""
        return (
            1
            - FINISH_BUDGET_FRACTION * (1 - DRAIN_FRACTION) * self.canary_share
        )

    def target_share(
        self, progress: float, *, is_confirmed: bool = True
    ) -> float:
        """Return the share of sessions that get the target version.

        The control group stays until the target `is_confirmed`.
        """
        if progress < 0:
            return 0
        if progress <= self.ramp_starts_at:
            return self.canary_session_share
        moved = (progress - self.ramp_starts_at) / (
            self.ramp_ends_at - self.ramp_starts_at
        )
        most = 1 if is_confirmed else 1 - CONTROL_SESSION_SHARE
        return max(self.canary_session_share, min(moved, most))

    def is_on_target(
        self,
        position: float,
        progress: float,
        *,
        is_active: bool,
        is_confirmed: bool = True,
    ) -> bool:
        """Return whether a session gets the target version.

        A session that is active on another version stays there during the
        canary phase.
        """
        if is_active and progress <= self.ramp_starts_at:
            return False
        return position < self.target_share(progress, is_confirmed=is_confirmed)


def session_position(session: str) -> float:
    """Return a hash position in 0 to 1 that is the same at every daemon."""
    return xxhash.xxh3_64_intdigest(session.encode()) / HASH_RANGE


def position_of(session: str) -> float:
    """Return the position of a request, at random if it has no session."""
    return session_position(session) if session else random.random()
