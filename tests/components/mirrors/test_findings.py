"""What one daemon found out reaches the others."""

from marigoldhoist.components.mirrors.findings import (
    FINDING_LIFE_S,
    MOST_FINDINGS,
    Findings,
)

SUBJECT = 'roll-out'


class Clock:
    """A clock that the test moves."""

    now_s = 100.0

    def __call__(self) -> float:
        """Return the time that the test has set."""
        return self.now_s


def finder(host: str, clock: Clock, found: bytes | None = None) -> Findings:
    """Return a daemon that found something, or nothing yet."""
    findings = Findings(host, 1, clock)
    if found is not None:
        findings.share(SUBJECT, lambda: found)
    return findings


def known(findings: Findings) -> set[bytes]:
    """Return what others found, as a daemon knows it."""
    return {heard.found for heard in findings.about(SUBJECT)}


class TestRelay:
    """Findings travel over daemons in between."""

    def test_third_daemon_hears_of_it(self) -> None:
        clock = Clock()
        first, second = finder('a', clock, b'1'), finder('b', clock, b'2')
        third = finder('c', clock)
        second.hear(first.all())
        third.hear(second.all())
        assert known(third) == {b'1', b'2'}

    def test_own_finding_does_not_come_back(self) -> None:
        clock = Clock()
        first, second = finder('a', clock, b'1'), finder('b', clock)
        second.hear(first.all())
        first.hear(second.all())
        assert not known(first)

    def test_older_copy_replaces_nothing(self) -> None:
        clock = Clock()
        listener = finder('c', clock)
        older = finder('a', clock, b'old').all()
        relay = finder('b', clock)
        relay.hear(older)
        clock.now_s += 5
        listener.hear(finder('a', clock, b'new').all())
        listener.hear(relay.all())
        assert known(listener) == {b'new'}

    def test_message_is_bounded(self) -> None:
        clock = Clock()
        listener = finder('z', clock)
        for number in range(MOST_FINDINGS * 2):
            listener.hear(finder(f'd{number}', clock, b'1').all())
        assert len(listener.all()) == MOST_FINDINGS


class TestLife:
    """Findings outlive the daemon that made them, for a while."""

    def test_daemon_started_anew_does_not_replace_the_one_before(
        self,
    ) -> None:
        clock = Clock()
        listener = finder('b', clock)
        listener.hear(finder('a', clock, b'before').all())
        again = Findings('a', 2, clock)
        again.share(SUBJECT, lambda: b'after')
        listener.hear(again.all())
        assert known(listener) == {b'before', b'after'}

    def test_is_forgotten_in_the_end(self) -> None:
        clock = Clock()
        listener = finder('b', clock)
        listener.hear(finder('a', clock, b'1').all())
        clock.now_s += FINDING_LIFE_S + 1
        assert not known(listener)
        assert not listener.all()

    def test_news_is_told_once(self) -> None:
        clock = Clock()
        listener = finder('b', clock)
        told: list[str] = []
        listener.on_heard(told.append)
        sent = finder('a', clock, b'1').all()
        listener.hear(sent)
        listener.hear(sent)
        assert told == [SUBJECT]

    def test_followers_tell_what_they_found_themselves(self) -> None:
        clock = Clock()
        follower = finder('a', clock, b'1')
        follower.hear(finder('b', clock, b'2').all())
        assert [one.found for one in follower.own()] == [b'1']

    def test_finding_that_is_over_is_no_longer_sent(self) -> None:
        findings = Findings('a', 1, Clock())
        findings.share(SUBJECT, lambda: None)
        assert not findings.all()
