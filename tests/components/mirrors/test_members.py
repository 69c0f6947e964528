"""Which daemons are known, and which of them reads the store."""

from collections.abc import Iterable

from marigoldhoist.components.mirrors.const import AVOID_S, FORGET_S
from marigoldhoist.components.mirrors.members import Members
from marigoldhoist.components.mirrors.models import DaemonCard

HOSTS = [f'd{number}' for number in range(6)]


class Clock:
    """A clock that the test moves."""

    now_s = 100.0

    def __call__(self) -> float:
        """Return the time that the test has set."""
        return self.now_s


def card(host: str, domain: str = 'here', heard_age_s: float = 0) -> DaemonCard:
    """Return a daemon's card."""
    return DaemonCard(host, f'{host}:1', domain, heard_age_s)


def knowing(host: str, others: Iterable[str], clock: Clock) -> Members:
    """Return what a daemon knows that has heard of others."""
    members = Members(card(host), clock)
    members.hear(card(other) for other in others)
    return members


class TestReaders:
    """The reader of a failure domain."""

    def test_all_daemons_agree_on_one(self) -> None:
        clock = Clock()
        asked = [knowing(host, HOSTS, clock).readers(1) for host in HOSTS]
        assert sum(readers is None for readers in asked) == 1
        named = {one.host for readers in asked for one in readers or ()}
        assert len(named) == 1

    def test_daemon_that_knows_nobody_reads_itself(self) -> None:
        assert knowing('d0', (), Clock()).readers(1) is None

    def test_daemons_of_other_domains_do_not_count(self) -> None:
        members = Members(card('d0'), Clock())
        members.hear(card(host, 'there') for host in HOSTS)
        assert members.readers(1) is None

    def test_reader_that_failed_is_passed_over_for_a_while(self) -> None:
        clock = Clock()
        follower = next(
            members
            for members in (knowing(host, HOSTS, clock) for host in HOSTS)
            if members.readers(1)
        )
        reader = (follower.readers(1) or [])[0]
        follower.note_failed(reader, 'silent')
        assert follower.readers(1) != [reader]
        clock.now_s += AVOID_S
        assert follower.readers(1) == [reader]

    def test_reader_that_relays_is_passed_over_for_a_while(self) -> None:
        clock = Clock()
        follower = next(
            members
            for members in (knowing(host, HOSTS, clock) for host in HOSTS)
            if members.readers(1)
        )
        reader = (follower.readers(1) or [])[0]
        follower.note_relaying(reader)
        assert follower.readers(1) != [reader]
        clock.now_s += AVOID_S
        assert follower.readers(1) == [reader]


class TestHearsay:
    """What daemons tell of others."""

    def test_age_grows_as_it_is_passed_on(self) -> None:
        clock = Clock()
        first = knowing('d0', ['d1'], clock)
        clock.now_s += 3
        second = Members(card('d2'), clock)
        second.hear(first.cards())
        assert second.member_by_host['d1'].heard_s == clock.now_s - 3

    def test_silent_daemons_are_forgotten_everywhere(self) -> None:
        clock = Clock()
        first = knowing('d0', ['d1'], clock)
        second = knowing('d2', ['d1'], clock)
        for _ in range(5):
            clock.now_s += FORGET_S / 4
            first.hear(second.cards())
            second.hear(first.cards())
        for members in (first, second):
            members.forget_silent()
            assert 'd1' not in members.member_by_host
