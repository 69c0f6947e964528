"""Hand on what each daemon found out by itself.

Answers a fleet whose every daemon sees too little to decide alone: each
tells its own findings to the reader of its failure domain, and readers tell
each other all that they have heard. A daemon that was started anew says
nothing about what the one before it found, so that stays known for a while.
"""

import dataclasses
import itertools
from collections.abc import Callable, Iterable
from typing import Final, TypeAlias

import msgspec

from marigoldhoist.components.feeds.models import Topic

# Findings in one message, at most: the newest ones are handed on.
MOST_FINDINGS: Final = 64
# A finding that was not renewed for this long is forgotten.
FINDING_LIFE_S: Final = 60.0

# Returns what is found now, none where there is nothing to tell any more.
Find: TypeAlias = Callable[[], bytes | None]


class Finding(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon found about a subject, and how long ago, in seconds.

    The start number tells daemons apart that ran on one host in turn.
    """

    host: str
    start_number: int
    subject: str
    payload: bytes
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedFinding:
    """What another daemon found, and when, as a boot time here."""

    payload: bytes
    created_s: float


_Key = tuple[str, str, int]


class FindingExchange:
    """The newest findings of other daemons, and what this one finds."""

    def __init__(
        self, host: str, start_number: int, clock: Callable[[], float]
    ) -> None:
        self._host = host
        self._start_number = start_number
        self._clock = clock
        self._own_by_subject: dict[str, Find] = {}
        self._kept_by_key: dict[_Key, ReceivedFinding] = {}
        self._tell: list[Callable[[str], None]] = []

    def publish(self, subject: str, find: Find) -> None:
        """Tell others what is found about a subject whenever they are met."""
        self._own_by_subject[subject] = find

    def withdraw(self, subject: str) -> None:
        """Stop telling others about a subject; they keep what they know."""
        self._own_by_subject.pop(subject, None)

    def add_listener(self, tell: Callable[[str], None]) -> None:
        """Call that with each subject of which something new was heard."""
        self._tell.append(tell)

    def received_for(self, subject: str) -> list[ReceivedFinding]:
        """Return what other daemons found about a subject."""
        self._forget_old()
        return [
            kept for key, kept in self._kept_by_key.items() if key[0] == subject
        ]

    def local_findings(self) -> list[Finding]:
        """Return what this daemon finds now."""
        found_by_subject = {
            subject: find() for subject, find in self._own_by_subject.items()
        }
        return [
            Finding(self._host, self._start_number, subject, found, 0)
            for subject, found in found_by_subject.items()
            if found is not None
        ]

    def known_findings(self) -> list[Finding]:
        """Return what this daemon finds, and the newest that it has heard."""
        if not self._own_by_subject and not self._kept_by_key:
            return []
        self._forget_old()
        newest = sorted(
            self._kept_by_key.items(), key=lambda item: -item[1].created_s
        )
        told = [*self.local_findings(), *map(self._as_finding, newest)]
        return told[:MOST_FINDINGS]

    def along_with(self, topic: str) -> list[Finding]:
        """Return what to tell along with a read of a topic, or with none.

        States of roll-outs are read only while there are some, and that is
        when there is something to find.
        """
        if not topic:
            return self.known_findings()
        return self.local_findings() if topic == Topic.STATUS.value else []

    def merge(self, findings: Iterable[Finding]) -> None:
        """Take in what another daemon tells."""
        now_s = self._clock()
        subjects = {
            finding.subject
            for finding in findings
            if self._is_news(finding, now_s - finding.age_s)
        }
        for subject, tell in itertools.product(sorted(subjects), self._tell):
            tell(subject)

    def _as_finding(self, item: tuple[_Key, ReceivedFinding]) -> Finding:
        (subject, host, start_number), kept = item
        age_s = self._clock() - kept.created_s
        return Finding(host, start_number, subject, kept.payload, age_s)

    def _is_news(self, finding: Finding, found_s: float) -> bool:
        """Keep a finding if it is newer than the one that is known."""
        if (finding.host, finding.start_number) == (
            self._host,
            self._start_number,
        ):
            return False
        if finding.age_s > FINDING_LIFE_S:
            return False
        key = (finding.subject, finding.host, finding.start_number)
        known = self._kept_by_key.get(key)
        if known is not None and known.created_s >= found_s:
            return False
        self._kept_by_key[key] = ReceivedFinding(finding.payload, found_s)
        return known is None or known.payload != finding.payload

    def _forget_old(self) -> None:
        oldest_s = self._clock() - FINDING_LIFE_S
        self._kept_by_key = {
            key: kept
            for key, kept in self._kept_by_key.items()
            if kept.created_s >= oldest_s
        }
