"""Exchange the findings of daemons by gossip.

A single daemon sees too little of the traffic to decide alone. Each daemon
sends its own findings to the reader of its failure domain, and readers send
each other all findings that they know. The findings of a restarted daemon do
not replace those of its previous process, which are kept until they expire.
"""

import dataclasses
import itertools
from collections.abc import Callable, Iterable
from typing import Final, TypeAlias

import msgspec

from marigoldhoist.components.feeds.models import Topic

# Limit of findings in one message; the oldest received ones are left out.
MAX_FINDINGS_PER_MESSAGE: Final = 64
# A finding that was not renewed for this long is removed.
FINDING_TTL_S: Final = 60.0
# Limit of findings of other daemons in the reply to a read.
MAX_RELAYED_IN_REPLY: Final = 8

# Returns the current finding, or None once it no longer applies.
FindingProvider: TypeAlias = Callable[[], bytes | None]


class Finding(msgspec.Struct, frozen=True, array_like=True):
    """A finding of one daemon about a subject, with its age in seconds.

    `start_number` distinguishes successive daemon processes of one host.
    """

    host: str
    start_number: int
    subject: str
    payload: bytes
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedFinding:
    """A finding of another daemon; `created_s` is in local boot time."""

    payload: bytes
    created_s: float


# Subject, host and start number.
_Key = tuple[str, str, int]


class FindingExchange:
    """Holds the newest findings of other daemons and publishes local ones."""

    def __init__(
        self, host: str, start_number: int, clock: Callable[[], float]
    ) -> None:
        self._host = host
        self._start_number = start_number
        self._clock = clock
        self._provider_by_subject: dict[str, FindingProvider] = {}
        self._urgent_subjects: set[str] = set()
        self._received_by_key: dict[_Key, ReceivedFinding] = {}
        self._listeners: list[Callable[[str], None]] = []

    def publish(
        self,
        subject: str,
        provider: FindingProvider,
        *,
        is_urgent: bool = False,
    ) -> None:
        """Send the provider's finding about a subject to other daemons.

        An urgent finding is sent with more reads. It contains what the daemon
        learnt from others, so theirs are not relayed.
        """
        self._provider_by_subject[subject] = provider
        if is_urgent:
            self._urgent_subjects.add(subject)

    def withdraw(self, subject: str) -> None:
        """Stop publishing a subject; other daemons keep it until it expires."""
        self._provider_by_subject.pop(subject, None)

    def add_listener(self, listener: Callable[[str], None]) -> None:
        """Call the listener with each subject that has a new finding."""
        self._listeners.append(listener)

    def received_for(self, subject: str) -> list[ReceivedFinding]:
        """Return the unexpired findings of other daemons about a subject."""
        self._remove_expired()
        return [
            received
            for key, received in self._received_by_key.items()
            if key[0] == subject
        ]

    def local_findings(self, *, is_urgent_only: bool = False) -> list[Finding]:
        """Return the current findings of this daemon."""
        payload_by_subject = {
            subject: provider()
            for subject, provider in self._provider_by_subject.items()
            if subject in self._urgent_subjects or not is_urgent_only
        }
        return [
            Finding(self._host, self._start_number, subject, payload, 0)
            for subject, payload in payload_by_subject.items()
            if payload is not None
        ]

    def known_findings(self) -> list[Finding]:
        """Return the local findings and the newest received ones, limited."""
        if not self._provider_by_subject and not self._received_by_key:
            return []
        self._remove_expired()
        relayed = (
            item
            for item in self._received_by_key.items()
            if item[0][0] not in self._urgent_subjects
        )
        newest = sorted(relayed, key=lambda item: -item[1].created_s)
        findings = [*self.local_findings(), *map(self._as_finding, newest)]
        return findings[:MAX_FINDINGS_PER_MESSAGE]

    def findings_for_reply(self, topic: str) -> list[Finding]:
        """Return the findings to send with the reply to a read of a topic.

        The newest ones of other daemons are relayed with the status topic, as
        the caller exchanges no gossip with the other failure domains.
        """
        if topic == Topic.STATUS.value:
            return self.known_findings()[: MAX_RELAYED_IN_REPLY + 1]
        return self.findings_for_read(topic)

    def findings_for_read(self, topic: str) -> list[Finding]:
        """Return the findings to send with a read of a topic.

        A gossip call, which has an empty topic, carries all known findings.
        Reads of the status topic carry the local ones: daemons follow that
        topic only while there are roll-outs, the subjects of findings. Reads of
        the replicas, which are the most frequent, carry the urgent ones.
        """
        if not topic:
            return self.known_findings()
        if topic == Topic.REPLICAS.value:
            return self.local_findings(is_urgent_only=True)
        return self.local_findings() if topic == Topic.STATUS.value else []

    def merge(self, findings: Iterable[Finding]) -> None:
        """Store newer findings of another daemon and call the listeners."""
        now_s = self._clock()
        subjects = {
            finding.subject
            for finding in findings
            if self._store_if_newer(finding, now_s - finding.age_s)
        }
        for subject, listener in itertools.product(
            sorted(subjects), self._listeners
        ):
            listener(subject)

    def _as_finding(self, item: tuple[_Key, ReceivedFinding]) -> Finding:
        (subject, host, start_number), received = item
        age_s = self._clock() - received.created_s
        return Finding(host, start_number, subject, received.payload, age_s)

    def _store_if_newer(self, finding: Finding, created_s: float) -> bool:
        """Store a finding if it is newer; return whether its payload is new."""
        if (finding.host, finding.start_number) == (
            self._host,
            self._start_number,
        ):
            return False
        if finding.age_s > FINDING_TTL_S:
            return False
        key = (finding.subject, finding.host, finding.start_number)
        known = self._received_by_key.get(key)
        if known is not None and known.created_s >= created_s:
            return False
        self._received_by_key[key] = ReceivedFinding(finding.payload, created_s)
        return known is None or known.payload != finding.payload

    def _remove_expired(self) -> None:
        expired_before_s = self._clock() - FINDING_TTL_S
        self._received_by_key = {
            key: received
            for key, received in self._received_by_key.items()
            if received.created_s >= expired_before_s
        }
