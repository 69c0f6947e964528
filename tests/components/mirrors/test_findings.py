"""What one daemon found out reaches the others."""

from marigoldhoist.components.mirrors.findings import (
    FINDING_LIFE_S,
    MOST_FINDINGS,
    FindingExchange,
)

SUBJECT = 'roll-out'


class Clock:
    """A clock that the test moves."""

    now_s = 100.0

    def __call__(self) -> float:
        """Return the time that the test has set."""
        return self.now_s


def finder(
    host: str, clock: Clock, found: bytes | None = None
) -> FindingExchange:
    """Return a daemon that found something, or nothing yet."""
    findings = FindingExchange(host, 1, clock)
    if found is not None:
        findings.publish(SUBJECT, lambda: found)
    return findings


def known(findings: FindingExchange) -> set[bytes]:
    """Return what others found, as a daemon knows it."""
    return {heard.payload for heard in findings.received_for(SUBJECT)}


class TestRelay:
    """Findings travel over daemons in between."""

    def test_third_daemon_hears_of_it(self) -> None:
        clock = Clock()
        first, second = finder('a', clock, b'1'), finder('b', clock, b'2')
        third = finder('c', clock)
        second.merge(first.known_findings())
        third.merge(second.known_findings())
        assert known(third) == {b'1', b'2'}

    def test_own_finding_does_not_come_back(self) -> None:
        clock = Clock()
        first, second = finder('a', clock, b'1'), finder('b', clock)
        second.merge(first.known_findings())
        first.merge(second.known_findings())
        assert not known(first)

    def test_older_copy_replaces_nothing(self) -> None:
        clock = Clock()
        listener = finder('c', clock)
        older = finder('a', clock, b'old').known_findings()
        relay = finder('b', clock)
        relay.merge(older)
        clock.now_s += 5
        listener.merge(finder('a', clock, b'new').known_findings())
        listener.merge(relay.known_findings())
        assert known(listener) == {b'new'}

    def test_message_is_bounded(self) -> None:
        clock = Clock()
        listener = finder('z', clock)
        for number in range(MOST_FINDINGS * 2):
            listener.merge(finder(f'd{number}', clock, b'1').known_findings())
        assert len(listener.known_findings()) == MOST_FINDINGS


class TestLife:
    """Findings outlive the daemon that made them, for a while."""

    def test_daemon_started_anew_does_not_replace_the_one_before(
        self,
    ) -> None:
        clock = Clock()
        listener = finder('b', clock)
        listener.merge(finder('a', clock, b'before').known_findings())
        again = FindingExchange('a', 2, clock)
        again.publish(SUBJECT, lambda: b'after')
        listener.merge(again.known_findings())
        assert known(listener) == {b'before', b'after'}

    def test_is_forgotten_in_the_end(self) -> None:
        clock = Clock()
        listener = finder('b', clock)
        listener.merge(finder('a', clock, b'1').known_findings())
        clock.now_s += FINDING_LIFE_S + 1
        assert not known(listener)
        assert not listener.known_findings()

    def test_news_is_told_once(self) -> None:
        clock = Clock()
        listener = finder('b', clock)
        told: list[str] = []
        listener.add_listener(told.append)
        sent = finder('a', clock, b'1').known_findings()
        listener.merge(sent)
        listener.merge(sent)
        assert told == [SUBJECT]

    def test_followers_tell_what_they_found_themselves(self) -> None:
        clock = Clock()
        follower = finder('a', clock, b'1')
        follower.merge(finder('b', clock, b'2').known_findings())
        assert [one.payload for one in follower.local_findings()] == [b'1']

    def test_finding_that_is_over_is_no_longer_sent(self) -> None:
        findings = FindingExchange('a', 1, Clock())
        findings.publish(SUBJECT, lambda: None)
        assert not findings.known_findings()
