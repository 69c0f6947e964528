"""Analyse new versions with the evidence of all daemons."""

import collections
import dataclasses
import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import Final, TypeAlias

import msgspec

from marigoldhoist.components.canary.clearance import Assessment, assess
from marigoldhoist.components.canary.comparison import (
    AnswerSample,
    TimeSample,
    VersionComparison,
)
from marigoldhoist.components.canary.completed_versions import CompletedVersions
from marigoldhoist.components.canary.const import MAX_SHARED_SESSIONS
from marigoldhoist.components.canary.events import (
    EVIDENCE_PASSED_OVER,
    VERSION_FOUND_BAD,
)
from marigoldhoist.components.canary.evidence import (
    DaemonEvidence,
    Evidence,
    SampleGroup,
    pool_evidence,
)
from marigoldhoist.components.canary.models import RollOut, RollOutState
from marigoldhoist.components.canary.regression import regression_reason
from marigoldhoist.components.mirrors.findings import FindingExchange
from marigoldhoist.core.clock import SYSTEM_CLOCK, SystemClock
from marigoldhoist.core.decoding import decode_msgpack
from marigoldhoist.core.events import emit

# The pooled evidence of other daemons is cached for this long instead of being
# pooled again for every answer.
PEER_EVIDENCE_TTL_S: Final = 0.25


# Returns the hash positions of sessions that would be canary sessions of the
# given target version but are active on another version.
FindActivePositions: TypeAlias = Callable[[str], Iterable[float]]


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerEvidence:
    """The evidence of another daemon; `created_s` is in local boot time."""

    evidence: DaemonEvidence
    created_s: float


class _RollOutAnalysis:
    """Analyses one roll-out by the evidence of this and other daemons."""

    def __init__(
        self,
        roll_out: RollOut,
        comparison: VersionComparison,
        findings: FindingExchange,
        find_active_positions: FindActivePositions,
        clock: SystemClock,
    ) -> None:
        self.roll_out = roll_out
        self._find_active_positions = find_active_positions
        self.active_positions: set[float] = set()
        self._comparison = comparison
        self._findings = findings
        self._clock = clock
        self._peer_evidence: Evidence = []
        self._peer_count = 0
        self._peers_refreshed_s = float('-inf')

    def encode_evidence(self) -> bytes | None:
        """Return the evidence to share, or None once the roll-out is final."""
        if self.roll_out.state.is_final:
            return None
        now_s = self._clock.boottime_s()
        self.active_positions.update(
            self._find_active_positions(self.roll_out.order.target)
        )
        positions = itertools.islice(self.active_positions, MAX_SHARED_SESSIONS)
        return msgspec.msgpack.encode(
            DaemonEvidence(
                now_s - self.roll_out.ordered_s,
                self._comparison.evidence(),
                list(positions),
                now_s - self.roll_out.cleared_s,
                self.roll_out.is_rejected,
                now_s - self.roll_out.confirmed_s,
                list(self._comparison.shared_samples()),
            )
        )

    def evaluate(self) -> None:
        """Reject the target version if the evidence shows a regression."""
        if self.roll_out.state.is_final or self.roll_out.is_rejected:
            return
        reason = regression_reason(
            self.pooled_evidence(), self.roll_out.order.recent_s
        )
        if reason and not self.roll_out.is_rejected:
            self.roll_out.is_rejected = True
            self._log_found_bad(reason)

    def _log_found_bad(self, reason: str) -> None:
        emit(
            VERSION_FOUND_BAD,
            service=self.roll_out.order.service,
            version=self.roll_out.order.target,
            reason=reason,
            other_daemons=self._peer_count,
            progress=round(self.roll_out.progress(self._clock.boottime_s()), 3),
        )

    def pooled_evidence(self) -> Evidence:
        """Return the evidence of this and the other daemons."""
        self._refresh_peer_evidence()
        return pool_evidence([self._comparison.evidence(), self._peer_evidence])

    def _refresh_peer_evidence(self) -> None:
        """Pool other daemons' evidence and adopt their earliest times."""
        now_s = self._clock.boottime_s()
        if now_s - self._peers_refreshed_s < PEER_EVIDENCE_TTL_S:
            return
        self._peers_refreshed_s = now_s
        peers = list(self._decode_peer_evidence())
        self._peer_count = len(peers)
        self._peer_evidence = pool_evidence(
            peer.evidence.evidence for peer in peers
        )
        if any(counts.failures for counts in self._peer_evidence):
            self._peer_evidence = [
                counts.with_pooled_series() for counts in self._peer_evidence
            ]
        self._comparison.peer_samples_by_group = _samples_by_group(peers)

    def _decode_peer_evidence(self) -> Iterator[_PeerEvidence]:
        # The recent answers of a daemon that has gone would stay recent.
        max_age_s = self.roll_out.order.recent_s / 2
        recent_since_s = self._clock.boottime_s() - max_age_s
        for finding in self._findings.received_for(self.roll_out.order.subject):
            try:
                peer = decode_msgpack(finding.payload, DaemonEvidence)
            except msgspec.MsgspecError as error:
                emit(EVIDENCE_PASSED_OVER, reason=str(error))
                continue
            ordered_s = finding.created_s - peer.known_for_s
            self.roll_out.ordered_s = min(self.roll_out.ordered_s, ordered_s)
            cleared_s = finding.created_s - peer.cleared_for_s
            self.roll_out.cleared_s = min(self.roll_out.cleared_s, cleared_s)
            confirmed_s = finding.created_s - peer.confirmed_for_s
            self.roll_out.confirmed_s = min(
                self.roll_out.confirmed_s, confirmed_s
            )
            self.active_positions.update(peer.active_positions)
            if peer.is_rejected and self.roll_out.adopt_rejection():
                self._log_found_bad('another daemon found it bad')
            is_recent = finding.created_s >= recent_since_s
            known = peer.older(self._clock.boottime_s() - finding.created_s)
            yield _PeerEvidence(
                known if is_recent else known.without_recent(),
                finding.created_s,
            )


def _samples_by_group(
    peers: Iterable[_PeerEvidence],
) -> dict[SampleGroup, list[TimeSample]]:
    """Return the baseline samples of other daemons, in local boot time."""
    samples_by_group: collections.defaultdict[SampleGroup, list[TimeSample]] = (
        collections.defaultdict(list)
    )
    for peer in peers:
        for shared in peer.evidence.baseline_samples:
            samples_by_group[shared.group].extend(
                TimeSample(peer.created_s - age_s, relative_time)
                for age_s, relative_time in zip(
                    shared.ages_s, shared.relative_times, strict=False
                )
            )
    return samples_by_group


class CanaryAnalysis:
    """Compares versions of all services and rejects bad ones."""

    def __init__(
        self,
        findings: FindingExchange,
        find_active_positions: FindActivePositions,
        clock: SystemClock = SYSTEM_CLOCK,
    ) -> None:
        self._findings = findings
        self._find_active_positions = find_active_positions
        self._clock = clock
        self._comparison_by_service: collections.defaultdict[
            str, VersionComparison
        ] = collections.defaultdict(lambda: VersionComparison(clock.boottime_s))
        self._analysis_by_service: dict[str, _RollOutAnalysis] = {}
        self._completed_versions = CompletedVersions(clock.boottime_s)
        findings.add_listener(self._on_new_finding)

    def begin(self, roll_out: RollOut) -> None:
        """Start to analyse a roll-out instead of the service's previous one."""
        order = roll_out.order
        earlier = self._analysis_by_service.get(order.service)
        if earlier is not None:
            self._findings.withdraw(earlier.roll_out.order.subject)
        comparison = self._comparison_by_service[order.service]
        comparison.begin(order.target, order.recent_s)
        analysis = _RollOutAnalysis(
            roll_out,
            comparison,
            self._findings,
            self._find_active_positions,
            self._clock,
        )
        self._analysis_by_service[order.service] = analysis
        self._findings.publish(order.subject, analysis.encode_evidence)
        analysis.evaluate()

    def assess(self, service: str) -> Assessment:
        """Return what the evidence says of a service's target version."""
        analysis = self._analysis_by_service.get(service)
        if analysis is None:
            return assess([])
        return assess(
            analysis.pooled_evidence(), analysis.roll_out.order.recent_s
        )

    def is_session_active(self, service: str, position: float) -> bool:
        """Return whether any daemon had the session on another version."""
        analysis = self._analysis_by_service.get(service)
        return analysis is not None and position in analysis.active_positions

    def record(self, service: str, version: str, answer: AnswerSample) -> None:
        """Record an answer; evaluate the version if it is the target."""
        self._comparison_by_service[service].record(version, answer)
        analysis = self._analysis_by_service.get(service)
        if analysis is None or analysis.roll_out.order.target != version:
            return
        if analysis.roll_out.state is RollOutState.COMPLETED:
            self._completed_versions.record(
                analysis.roll_out.order, is_failure=answer.is_failure
            )
        else:
            analysis.evaluate()

    def _on_new_finding(self, subject: str) -> None:
        for analysis in self._analysis_by_service.values():
            if analysis.roll_out.order.subject == subject:
                analysis.evaluate()
