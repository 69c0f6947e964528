"""Membership: the other daemons of the fleet, as known by gossip."""

import dataclasses
import math
from collections.abc import Callable, Iterable

import xxhash

from marigoldhoist.components.mirrors.const import (
    FLEET_SIZE_MEMORY_S,
    MEMBER_TIMEOUT_S,
    PEER_BACKOFF_S,
)
from marigoldhoist.components.mirrors.events import (
    PEER_FAILED,
    PEER_FORGOTTEN,
    PEER_FOUND,
    READER_RELAYS,
)
from marigoldhoist.components.mirrors.models import DaemonInfo
from marigoldhoist.core.events import emit


@dataclasses.dataclass(slots=True)
class Member:
    """A daemon of the fleet other than this one.

    `last_heard_s` is the boot time at which any daemon last heard from it.
    This daemon does not query it before the boot time `backoff_until_s`. It
    takes the calls of other daemons at `handover_address`, if it has one.
    """

    host: str
    address: str
    failure_domain: str
    last_heard_s: float
    backoff_until_s: float = 0
    handover_address: str = ''
    rank: int = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Cache the rank, since members are sorted by it at each read."""
        self.rank = rank(self.host)


class Membership:
    """Tracks the other daemons by host and selects those to read from."""

    def __init__(self, own: DaemonInfo, clock: Callable[[], float]) -> None:
        self.own = own
        self._own_rank = rank(own.host)
        self._clock = clock
        self._largest_size = 1
        self._largest_at_s = -math.inf
        self.member_by_host: dict[str, Member] = {}

    def merge(self, daemons: Iterable[DaemonInfo]) -> None:
        """Merge the daemons that another daemon knows."""
        now_s = self._clock()
        for daemon in daemons:
            if (
                daemon.host != self.own.host
                and daemon.heard_age_s < MEMBER_TIMEOUT_S
            ):
                self._merge_one(daemon, now_s - daemon.heard_age_s)

    def remove_expired(self) -> None:
        """Remove daemons that no daemon has heard from for too long."""
        now_s = self._clock()
        for host, member in tuple(self.member_by_host.items()):
            if now_s - member.last_heard_s > MEMBER_TIMEOUT_S:
                self.member_by_host.pop(host)
                emit(
                    PEER_FORGOTTEN,
                    peer=host,
                    heard_age_s=self._heard_age_s(member),
                )

    def record_failure(self, member: Member, reason: str) -> None:
        """Log a failed call and start the daemon's backoff."""
        self._start_backoff(member)
        emit(
            PEER_FAILED,
            peer=member.host,
            reason=reason,
            heard_age_s=self._heard_age_s(member),
        )

    def record_relaying(self, member: Member) -> None:
        """Log that a reader only relays and start its backoff."""
        self._start_backoff(member)
        emit(
            READER_RELAYS,
            peer=member.host,
            heard_age_s=self._heard_age_s(member),
        )

    def record_response(self, member: Member) -> None:
        """Record that a daemon responded now."""
        member.last_heard_s = self._clock()

    def daemons(self) -> list[DaemonInfo]:
        """Return this daemon and all other known daemons."""
        now_s = self._clock()
        others = [
            DaemonInfo(
                member.host,
                member.address,
                member.failure_domain,
                now_s - member.last_heard_s,
                member.handover_address,
            )
            for member in self.member_by_host.values()
        ]
        return [self.own, *others]

    def fleet_size(self) -> int:
        """Return the largest recent number of daemons, this one included.

        Daemons that this one is cut off from still run.
        """
        now_s = self._clock()
        size = len(self.member_by_host) + 1
        is_outdated = now_s - self._largest_at_s > FLEET_SIZE_MEMORY_S
        if size >= self._largest_size or is_outdated:
            self._largest_size = size
            self._largest_at_s = now_s
        return self._largest_size

    def available(self) -> list[Member]:
        """Return the members without a running backoff, sorted by rank."""
        now_s = self._clock()
        members = [
            member
            for member in self.member_by_host.values()
            if now_s >= member.backoff_until_s
        ]
        return sorted(members, key=_rank_of)

    def select_readers(self, count: int) -> list[Member] | None:
        """Return the readers to query, or None if this daemon is a reader.

        The readers are the first available daemons by rank in this daemon's
        failure domain.
        """
        preceding = self._preceding()
        return preceding[:count] if len(preceding) >= count else None

    def select_deputies(self, reader_count: int, count: int) -> list[Member]:
        """Return the members that read for the domain if the readers fail.

        Empty if this daemon precedes them.
        """
        return self._preceding()[reader_count : reader_count + count]

    def select_relays(self) -> list[Member]:
        """Return the members that pass news on to the rest of the fleet.

        These are the readers of the other failure domains for a reader, and
        its reader for any other daemon.
        """
        preceding = self._preceding()
        if preceding:
            return preceding[:1]
        first_by_domain: dict[str, Member] = {}
        for member in self.available():
            first_by_domain.setdefault(member.failure_domain, member)
        first_by_domain.pop(self.own.failure_domain, None)
        return list(first_by_domain.values())

    def _preceding(self) -> list[Member]:
        """Return the available members of the domain that rank before this."""
        return [
            member
            for member in self.available()
            if member.failure_domain == self.own.failure_domain
            and member.rank < self._own_rank
        ]

    def _start_backoff(self, member: Member) -> None:
        member.backoff_until_s = self._clock() + PEER_BACKOFF_S

    def _heard_age_s(self, member: Member) -> float:
        return round(self._clock() - member.last_heard_s, 3)

    def _merge_one(self, daemon: DaemonInfo, last_heard_s: float) -> None:
        known = self.member_by_host.get(daemon.host)
        if known is None or known.address != daemon.address:
            emit(
                PEER_FOUND,
                peer=daemon.host,
                address=daemon.address,
                failure_domain=daemon.failure_domain,
                heard_age_s=round(daemon.heard_age_s, 3),
            )
            self.member_by_host[daemon.host] = Member(
                daemon.host,
                daemon.address,
                daemon.failure_domain,
                last_heard_s,
                handover_address=daemon.handover_address,
            )
            return
        if last_heard_s > known.last_heard_s:
            known.handover_address = daemon.handover_address
        known.last_heard_s = max(known.last_heard_s, last_heard_s)


def rank(host: str) -> int:
    """Return a hash of the host, by which all daemons agree on the order."""
    return xxhash.xxh3_64_intdigest(host.encode())


def _rank_of(member: Member) -> int:
    return member.rank
