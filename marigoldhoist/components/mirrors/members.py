"""The daemons that this one has heard of."""

import dataclasses
from collections.abc import Callable, Iterable

import xxhash

from marigoldhoist.components.mirrors.const import AVOID_S, FORGET_S
from marigoldhoist.components.mirrors.events import (
    PEER_FAILED,
    PEER_FORGOTTEN,
    PEER_FOUND,
    READER_RELAYS,
)
from marigoldhoist.components.mirrors.models import DaemonCard
from marigoldhoist.core.events import emit


@dataclasses.dataclass(slots=True)
class Member:
    """A daemon, when it was heard from, and until when it is avoided."""

    host: str
    address: str
    failure_domain: str
    heard_s: float
    avoided_until_s: float = 0
    rank: int = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Work the rank out once, as members are sorted at each read."""
        self.rank = rank(self.host)


class Members:
    """Daemons by name; the clock is given."""

    def __init__(self, own: DaemonCard, clock: Callable[[], float]) -> None:
        self.own = own
        self._own_rank = rank(own.host)
        self._clock = clock
        self.member_by_host: dict[str, Member] = {}

    def hear(self, cards: Iterable[DaemonCard]) -> None:
        """Take in what another daemon knows of others."""
        now_s = self._clock()
        for card in cards:
            if card.host != self.own.host and card.heard_age_s < FORGET_S:
                self._hear_one(card, now_s - card.heard_age_s)

    def forget_silent(self) -> None:
        """Forget daemons that nobody has heard from."""
        now_s = self._clock()
        for host, member in tuple(self.member_by_host.items()):
            if now_s - member.heard_s > FORGET_S:
                self.member_by_host.pop(host)
                emit(
                    PEER_FORGOTTEN,
                    peer=host,
                    heard_age_s=self._heard_age_s(member),
                )

    def note_failed(self, member: Member, reason: str) -> None:
        """Avoid a daemon for a while."""
        self._avoid(member)
        emit(
            PEER_FAILED,
            peer=member.host,
            reason=reason,
            heard_age_s=self._heard_age_s(member),
        )

    def note_relaying(self, member: Member) -> None:
        """Pass over a reader that has its news from others, for a while."""
        self._avoid(member)
        emit(
            READER_RELAYS,
            peer=member.host,
            heard_age_s=self._heard_age_s(member),
        )

    def note_answered(self, member: Member) -> None:
        """Note that a daemon answered."""
        member.heard_s = self._clock()

    def cards(self) -> list[DaemonCard]:
        """Return this daemon and those it has heard of."""
        now_s = self._clock()
        others = [
            DaemonCard(
                member.host,
                member.address,
                member.failure_domain,
                now_s - member.heard_s,
            )
            for member in self.member_by_host.values()
        ]
        return [self.own, *others]

    def usable(self) -> list[Member]:
        """Return the daemons that may be asked, each rank the same here."""
        now_s = self._clock()
        found = [
            member
            for member in self.member_by_host.values()
            if now_s >= member.avoided_until_s
        ]
        return sorted(found, key=_rank_of)

    def readers(self, count: int) -> list[Member] | None:
        """Return whom to ask, none where this daemon is a reader itself."""
        near = [
            member
            for member in self.usable()
            if member.failure_domain == self.own.failure_domain
        ]
        before = [one for one in near if one.rank < self._own_rank]
        return before[:count] if len(before) >= count else None

    def _avoid(self, member: Member) -> None:
        member.avoided_until_s = self._clock() + AVOID_S

    def _heard_age_s(self, member: Member) -> float:
        return round(self._clock() - member.heard_s, 3)

    def _hear_one(self, card: DaemonCard, heard_s: float) -> None:
        known = self.member_by_host.get(card.host)
        if known is None or known.address != card.address:
            emit(
                PEER_FOUND,
                peer=card.host,
                address=card.address,
                failure_domain=card.failure_domain,
                heard_age_s=round(card.heard_age_s, 3),
            )
            self.member_by_host[card.host] = Member(
                card.host, card.address, card.failure_domain, heard_s
            )
            return
        known.heard_s = max(known.heard_s, heard_s)


def rank(host: str) -> int:
    """Return a daemon's rank, the same at every daemon."""
    return xxhash.xxh3_64_intdigest(host.encode())


def _rank_of(member: Member) -> int:
    return member.rank
