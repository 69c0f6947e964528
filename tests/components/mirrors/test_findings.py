"""Exchange and expiry of findings."""

from marigoldhoist.components.feeds.models import Topic
from marigoldhoist.components.mirrors.findings import (
    FINDING_TTL_S,
    MAX_FINDINGS_PER_MESSAGE,
    MAX_RELAYED_IN_REPLY,
    FindingExchange,
)

SUBJECT = 'roll-out'


class FakeClock:
    """A clock that the test advances."""

    now_s = 100.0

    def __call__(self) -> float:
        """Return the current time in seconds, as set by the test."""
        return self.now_s


def exchange_of(
    host: str, clock: FakeClock, payload: bytes | None = None
) -> FindingExchange:
    """Return the exchange of a daemon with one finding, or with none."""
    findings = FindingExchange(host, 1, clock)
    if payload is not None:
        findings.publish(SUBJECT, lambda: payload)
    return findings


def received_payloads(findings: FindingExchange) -> set[bytes]:
    """Return the payloads that an exchange received from other daemons."""
    return {received.payload for received in findings.received_for(SUBJECT)}


class TestRelay:
    """Findings are passed on by intermediate daemons."""

    def test_third_daemon_receives_both_findings(self) -> None:
        clock = FakeClock()
        first, second = (
            exchange_of('a', clock, b'1'),
            exchange_of('b', clock, b'2'),
        )
        third = exchange_of('c', clock)
        second.merge(first.known_findings())
        third.merge(second.known_findings())
        assert received_payloads(third) == {b'1', b'2'}

    def test_own_finding_is_not_received_back(self) -> None:
        clock = FakeClock()
        first, second = exchange_of('a', clock, b'1'), exchange_of('b', clock)
        second.merge(first.known_findings())
        first.merge(second.known_findings())
        assert not received_payloads(first)

    def test_older_copy_does_not_replace_a_newer_one(self) -> None:
        clock = FakeClock()
        listener = exchange_of('c', clock)
        older = exchange_of('a', clock, b'old').known_findings()
        relay = exchange_of('b', clock)
        relay.merge(older)
        clock.now_s += 5
        listener.merge(exchange_of('a', clock, b'new').known_findings())
        listener.merge(relay.known_findings())
        assert received_payloads(listener) == {b'new'}

    def test_message_is_bounded(self) -> None:
        clock = FakeClock()
        listener = exchange_of('z', clock)
        for number in range(MAX_FINDINGS_PER_MESSAGE * 2):
            listener.merge(
                exchange_of(f'd{number}', clock, b'1').known_findings()
            )
        assert len(listener.known_findings()) == MAX_FINDINGS_PER_MESSAGE


class TestLifetime:
    """Findings outlive the process that created them until they expire."""

    def test_restart_does_not_replace_previous_finding(self) -> None:
        clock = FakeClock()
        listener = exchange_of('b', clock)
        listener.merge(exchange_of('a', clock, b'before').known_findings())
        restarted = FindingExchange('a', 2, clock)
        restarted.publish(SUBJECT, lambda: b'after')
        listener.merge(restarted.known_findings())
        assert received_payloads(listener) == {b'before', b'after'}

    def test_finding_expires(self) -> None:
        clock = FakeClock()
        listener = exchange_of('b', clock)
        listener.merge(exchange_of('a', clock, b'1').known_findings())
        clock.now_s += FINDING_TTL_S + 1
        assert not received_payloads(listener)
        assert not listener.known_findings()

    def test_listener_is_called_once_per_new_payload(self) -> None:
        clock = FakeClock()
        listener = exchange_of('b', clock)
        notified: list[str] = []
        listener.add_listener(notified.append)
        sent = exchange_of('a', clock, b'1').known_findings()
        listener.merge(sent)
        listener.merge(sent)
        assert notified == [SUBJECT]

    def test_followers_send_only_their_own_findings(self) -> None:
        clock = FakeClock()
        follower = exchange_of('a', clock, b'1')
        follower.merge(exchange_of('b', clock, b'2').known_findings())
        assert [finding.payload for finding in follower.local_findings()] == [
            b'1'
        ]

    def test_reply_to_a_follower_relays_the_newest_of_other_daemons(
        self,
    ) -> None:
        clock = FakeClock()
        reader = exchange_of('reader', clock, b'own')
        for number in range(2 * MAX_RELAYED_IN_REPLY):
            clock.now_s += 1
            host = f'd{number}'
            payload = host.encode()
            reader.merge(exchange_of(host, clock, payload).known_findings())
        reply = reader.findings_for_reply(Topic.STATUS.value)
        payloads = [finding.payload for finding in reply]
        newest = 2 * MAX_RELAYED_IN_REPLY - 1
        assert payloads[:2] == [b'own', f'd{newest}'.encode()]
        assert len(payloads) == MAX_RELAYED_IN_REPLY + 1
        assert not reader.findings_for_reply(Topic.OPERATOR.value)

    def test_provider_without_a_finding_sends_none(self) -> None:
        findings = FindingExchange('a', 1, FakeClock())
        findings.publish(SUBJECT, lambda: None)
        assert not findings.known_findings()
