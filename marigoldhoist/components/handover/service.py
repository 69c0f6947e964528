"""The handover service: choose the daemon that a call is handed over to."""

import collections
import contextlib
import random
from collections.abc import Container, Iterator

from marigoldhoist.components.handover.const import AVOIDANCE_S
from marigoldhoist.components.handover.events import PEER_AVOIDED
from marigoldhoist.components.mirrors.membership import Member, Membership
from marigoldhoist.components.mirrors.service import find_membership
from marigoldhoist.core.clock import SYSTEM_CLOCK, SystemClock
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel


class PeerSelector:
    """Selects peers by what became of the calls that were handed to them.

    A daemon learns which peers reach a service by handing calls to them: one
    that does not says so at once. Peers that have served calls are preferred,
    then those with the fewest calls in flight, then the own failure domain.
    """

    def __init__(
        self,
        membership: Membership,
        rng: random.Random,
        clock: SystemClock = SYSTEM_CLOCK,
    ) -> None:
        self._membership = membership
        self._rng = rng
        self._clock = clock
        self._avoided_until_s: dict[tuple[str, str], float] = {}
        self._serving: set[tuple[str, str]] = set()
        self._in_flight_by_host: collections.Counter[str] = (
            collections.Counter()
        )

    @property
    def own_address(self) -> str:
        """Return where this daemon takes calls of others, empty for nowhere."""
        return self._membership.own.handover_address

    @property
    def has_peers(self) -> bool:
        """Return whether any daemon takes calls of this one."""
        return any(
            member.handover_address
            for member in self._membership.member_by_host.values()
        )

    def pick(self, service: str, excluded: Container[str]) -> Member | None:
        """Return the peer to hand a call to, None if there is none left."""
        now_s = self._clock.boottime_s()
        self._drop_expired(now_s)
        candidates = [
            member
            for member in self._membership.member_by_host.values()
            if member.handover_address
            and member.host not in excluded
            and (member.host, service) not in self._avoided_until_s
        ]
        if not candidates:
            return None
        self._rng.shuffle(candidates)
        return min(candidates, key=lambda member: self._order(member, service))

    @contextlib.contextmanager
    def in_flight(self, peer: Member) -> Iterator[None]:
        """Count a call that is handed to a peer."""
        self._in_flight_by_host[peer.host] += 1
        try:
            yield
        finally:
            self._in_flight_by_host[peer.host] -= 1

    def record_served(self, peer: Member, service: str) -> None:
        """Record that a peer has reached a replica of a service."""
        self._serving.add((peer.host, service))

    def avoid(self, peer: Member, service: str, reason: str) -> None:
        """Hand no calls to a service to a peer for a time."""
        key = (peer.host, service)
        self._serving.discard(key)
        self._avoided_until_s[key] = self._clock.boottime_s() + AVOIDANCE_S
        emit(
            PEER_AVOIDED,
            peer=peer.host,
            service=service,
            reason=reason,
            for_s=AVOIDANCE_S,
            in_flight=self._in_flight_by_host[peer.host],
        )

    def _order(self, member: Member, service: str) -> tuple[bool, int, bool]:
        return (
            (member.host, service) not in self._serving,
            self._in_flight_by_host[member.host],
            member.failure_domain != self._membership.own.failure_domain,
        )

    def _drop_expired(self, now_s: float) -> None:
        self._avoided_until_s = {
            key: until_s
            for key, until_s in self._avoided_until_s.items()
            if now_s < until_s
        }
        known = self._membership.member_by_host
        self._serving = {key for key in self._serving if key[0] in known}


class HandoverService(BaseService):
    """Provides the peers to which this daemon hands calls over."""

    def __init__(self, kernel: Kernel) -> None:
        self.peers = PeerSelector(find_membership(kernel), random.Random())
