"""What this daemon knows of crashes, by itself and from others."""

import itertools
from collections.abc import Iterable, Iterator

import msgspec

from marigoldhoist.components.directory.models import ReplicaStart
from marigoldhoist.components.mirrors.findings import ReceivedFinding
from marigoldhoist.components.quarantine.answered_parts import AnsweredParts
from marigoldhoist.components.quarantine.const import CRASH_MEMORY_S
from marigoldhoist.components.quarantine.crash_log import CrashLog, is_expired
from marigoldhoist.components.quarantine.culprits import (
    Evidence,
    find_culprits,
)
from marigoldhoist.components.quarantine.events import (
    CRASH_REFUTED,
    PART_HELD,
    QUARANTINE_REPORT_IGNORED,
)
from marigoldhoist.components.quarantine.exchange import (
    crashes_of,
    decode_finding,
    encode_finding,
    held_of,
)
from marigoldhoist.components.quarantine.held_parts import HeldParts
from marigoldhoist.components.quarantine.models import (
    AnswerReport,
    Crash,
    HeldPart,
)
from marigoldhoist.components.quarantine.part_ids import (
    RequestParts,
    is_whole_request,
)
from marigoldhoist.components.quarantine.settings import QuarantineSettings
from marigoldhoist.core.clock import SystemClock
from marigoldhoist.core.events import emit


class SharedEvidence:
    """Crashes, answered parts and held parts, merged over the daemons."""

    def __init__(
        self, settings: QuarantineSettings, clock: SystemClock
    ) -> None:
        self._clock = clock
        self._allowed = frozenset(settings.allowed_parts)
        self.answered = AnsweredParts()
        self.crashes = CrashLog()
        self.held = HeldParts()
        self._answered_s_by_replica: dict[ReplicaStart, float] = {}

    @property
    def held_count(self) -> int:
        """Return the number of parts that are held back now."""
        return len(self.held.active_ids(self._clock.boottime_s()))

    def log_fields(self, now_s: float) -> dict[str, object]:
        """Return log fields with the number and the ages of the crashes."""
        ages_s = [now_s - crash.at_s for crash in self.crashes.crashes]
        return {
            'known_crashes': len(ages_s),
            'oldest_crash_age_s': round(max(ages_s, default=0), 3),
            'newest_crash_age_s': round(min(ages_s, default=0), 3),
        }

    def is_allowed(self, part_id: str) -> bool:
        """Return whether the operator has lifted a part."""
        return part_id in self._allowed

    def note_alive(self, replica: ReplicaStart, answered_s: float) -> None:
        """Record that a replica answered this daemon or another one."""
        known_s = self._answered_s_by_replica.get(replica, answered_s)
        self._answered_s_by_replica[replica] = max(known_s, answered_s)

    def forget_replica(self, replica: ReplicaStart) -> None:
        """Forget when a replica that is gone has answered."""
        self._answered_s_by_replica.pop(replica, None)

    def is_tracked(self, parts: RequestParts) -> bool:
        """Return whether a whole request was at a crash or is held back."""
        if self.crashes.is_empty and not self.held.held_by_part:
            return False
        return (
            self.crashes.has(parts.whole)
            or parts.whole in self.held.held_by_part
        )

    def record_answer(self, parts: RequestParts, now_s: float) -> None:
        """Record that a request was answered completely.

        Most requests come once, so only those at crashes are remembered.
        """
        part_ids = parts.ids if self.is_tracked(parts) else parts.shared
        self.answered.record(part_ids, now_s)
        for part_id in self.held.on_probation(now_s).intersection(part_ids):
            self.held.release(part_id)

    def culprits(self, now_s: float) -> dict[str, int]:
        """Return the crashes of each part that is not held, by part."""
        self._refute_crashes(now_s)
        unexplained = [
            crash for crash in self._unexplained(now_s) if not crash.is_refuted
        ]
        return find_culprits(
            Evidence(
                unexplained,
                self.answered.answered_s_by_part,
                self.held.on_probation(now_s),
                frozenset(
                    filter(is_whole_request, self.held.active_ids(now_s))
                ),
            )
        )

    def encode(self) -> bytes | None:
        """Return all that is known for other daemons, None for nothing."""
        now_s = self._clock.boottime_s()
        self.drop_old(now_s)
        return encode_finding(
            self._unexplained(now_s),
            self.answered.answered_s_by_part,
            self.held.held_by_part.values(),
            self._answered_s_by_replica,
            now_s,
        )

    def merge(self, received: ReceivedFinding) -> Iterator[bool]:
        """Merge what another daemon knows; yield whether each item is new.

        A finding may be kept for longer than its crashes count.
        """
        now_s = self._clock.boottime_s()
        created_s = received.created_s
        try:
            finding = decode_finding(received.payload)
        except msgspec.MsgspecError as error:
            emit(QUARANTINE_REPORT_IGNORED, reason=str(error))
            return
        for part_id, age_s in finding.answer_age_s_by_part.items():
            self.answered.record((part_id,), created_s - age_s)
        for crash in crashes_of(finding, created_s):
            if not is_expired(crash, now_s):
                yield self.crashes.add(crash)
        self._merge_answers(finding.answers, created_s)
        for held in held_of(finding, created_s):
            yield self.merge_held(held)

    def _unexplained(self, now_s: float) -> Iterator[Crash]:
        """Yield the crashes that no held prompt part explains.

        A held request explains its crashes as well, but they may turn out to
        be those of one of its parts.
        """
        return self.crashes.unexplained(
            itertools.filterfalse(is_whole_request, self.held.active_ids(now_s))
        )

    def _merge_answers(
        self, answers: Iterable[AnswerReport], created_s: float
    ) -> None:
        """Take over answers of replicas that are known here."""
        known = {crash.replica for crash in self.crashes.crashes}
        known.update(self._answered_s_by_replica)
        for answer in answers:
            replica = (answer.host, answer.started_ms)
            if replica in known:
                self.note_alive(replica, created_s - answer.age_s)

    def _refute_crashes(self, now_s: float) -> None:
        """Mark the crashes of replicas that have answered since."""
        for refuted in self.crashes.refute(self._answered_s_by_replica):
            emit(
                CRASH_REFUTED,
                replica=refuted.replica[0],
                crash_age_s=round(now_s - refuted.at_s, 3),
            )

    def drop_old(self, now_s: float) -> None:
        """Forget what is too old to count."""
        self.crashes.drop_expired(now_s)
        # Older answers refute no crash that is remembered.
        self._answered_s_by_replica = {
            replica: answered_s
            for replica, answered_s in self._answered_s_by_replica.items()
            if now_s - answered_s < CRASH_MEMORY_S
        }
        self.held.drop_forgotten(now_s)

    def merge_held(self, held: HeldPart) -> bool:
        """Take over a part that another daemon holds or has stored.

        Return whether it is new.
        """
        now_s = self._clock.boottime_s()
        if held.is_forgotten(now_s) or self.is_allowed(held.part_id):
            return False
        is_new = self.held.merge(held)
        if is_new:
            log_held(held, source='another daemon')
        return is_new


def log_held(held: HeldPart, source: str) -> None:
    """Log that a part is held back, and who found it."""
    emit(
        PART_HELD,
        part=held.part_id,
        crashes=held.crashes,
        hold_s=held.hold_s,
        times_held=held.times_held,
        source=source,
    )
