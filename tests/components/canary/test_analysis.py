"""Tests of the analysis of a new version by several daemons."""

import itertools
import math

import msgspec
import pytest

from marigoldhoist.components.canary.analysis import (
    PEER_EVIDENCE_TTL_S,
    CanaryAnalysis,
)
from marigoldhoist.components.canary.comparison import (
    MAX_BASELINE_AGE_S,
    AnswerSample,
)
from marigoldhoist.components.canary.evidence import Evidence, Measure
from marigoldhoist.components.canary.models import (
    RollOut,
    RollOutOrder,
    RollOutState,
)
from marigoldhoist.components.mirrors.findings import Finding, FindingExchange
from marigoldhoist.core.clock import SystemClock

ORDER = RollOutOrder('s', 'v2', 20, 7)
NORMAL_PACE_S = 0.04
SLOW_PACE_S = 0.12


class OlderEvidence(msgspec.Struct, array_like=True):
    """The evidence as the release before the shared verdict decodes it."""

    known_for_s: float
    evidence: Evidence
    active_positions: list[float] = []
    cleared_for_s: float = -math.inf


class Clock(SystemClock):
    """A clock that the test sets."""

    now_s = 100.0

    def boottime_s(self) -> float:
        """Return the time that the test set."""
        return self.now_s


class Daemon:
    """The canary analysis of one daemon, with one roll-out."""

    def __init__(
        self, host: str, clock: Clock, active_positions: tuple[float, ...] = ()
    ) -> None:
        self.findings = FindingExchange(host, 1, clock.boottime_s)
        self.analysis = CanaryAnalysis(
            self.findings, lambda _target: active_positions, clock
        )
        self.roll_out = RollOut(ORDER, clock.now_s)
        self.analysis.begin(self.roll_out)

    def record_pace(self, version: str, pace_s: float) -> None:
        """Record the pace of one stream."""
        answer = AnswerSample(False, pace_s, 'w', Measure.PACE)
        self.analysis.record('s', version, answer)


@pytest.fixture
def clock() -> Clock:
    """Return a clock."""
    return Clock()


@pytest.fixture
def daemons(clock: Clock) -> list[Daemon]:
    """Return four daemons that have recorded the old version's pace."""
    started = [Daemon(f'd{number}', clock) for number in range(4)]
    for daemon, _ in itertools.product(started, range(5)):
        daemon.record_pace('v1', NORMAL_PACE_S)
    return started


def gossip(daemons: list[Daemon], clock: Clock) -> None:
    """Pass the findings of each daemon on to the next one."""
    clock.now_s += PEER_EVIDENCE_TTL_S * 2
    for sender, receiver in itertools.pairwise(daemons):
        receiver.findings.merge(sender.findings.known_findings())


class TestVerdict:
    """What one daemon has found holds for those that hear of it."""

    def test_rejection_is_adopted(
        self, daemons: list[Daemon], clock: Clock
    ) -> None:
        daemons[0].roll_out.is_rejected = True
        gossip(daemons, clock)
        assert all(daemon.roll_out.is_rejected for daemon in daemons)
        assert daemons[-1].roll_out.is_found_elsewhere

    def test_completed_version_stays(
        self, daemons: list[Daemon], clock: Clock
    ) -> None:
        daemons[0].roll_out.is_rejected = True
        daemons[1].roll_out.state = RollOutState.COMPLETED
        gossip(daemons, clock)
        assert daemons[1].roll_out.is_target_allowed

    def test_older_release_tells_no_verdict(
        self, daemons: list[Daemon]
    ) -> None:
        older = msgspec.msgpack.encode([0, [], [], -math.inf])
        daemons[0].findings.merge([Finding('old', 1, ORDER.subject, older, 0)])
        assert not daemons[0].roll_out.is_rejected

    def test_older_release_reads_the_evidence(
        self, daemons: list[Daemon]
    ) -> None:
        daemons[0].roll_out.is_rejected = True
        finding = daemons[0].findings.local_findings()[0]
        decoded = msgspec.msgpack.decode(finding.payload, type=OlderEvidence)
        assert decoded.evidence


class TestPooledEvidence:
    """A single daemon has too little evidence to decide alone."""

    def test_slow_answers_at_several_daemons_suffice(
        self, daemons: list[Daemon], clock: Clock
    ) -> None:
        for daemon in daemons:
            clock.now_s += 1
            daemon.record_pace('v2', SLOW_PACE_S)
            assert not daemon.roll_out.is_rejected
        gossip(daemons, clock)
        assert daemons[-1].roll_out.is_rejected

    def test_normal_answers_at_peers_outweigh_slow_ones(
        self, daemons: list[Daemon], clock: Clock
    ) -> None:
        for daemon in daemons[:3]:
            for _ in range(4):
                daemon.record_pace('v2', NORMAL_PACE_S)
        gossip(daemons, clock)
        for _ in range(4):
            clock.now_s += 1
            daemons[-1].record_pace('v2', SLOW_PACE_S)
        assert not daemons[-1].roll_out.is_rejected

    def test_no_evidence_is_shared_for_final_roll_out(
        self, daemons: list[Daemon]
    ) -> None:
        daemons[0].roll_out.state = RollOutState.ROLLED_BACK
        assert not daemons[0].findings.known_findings()


class TestSharedBaseline:
    """Answers are compared with the baseline's samples of all daemons."""

    def test_few_baseline_answers_at_each_daemon_suffice(
        self, clock: Clock
    ) -> None:
        daemons = [Daemon(f'd{number}', clock) for number in range(4)]
        for daemon in daemons:
            daemon.record_pace('v1', NORMAL_PACE_S)
        gossip(daemons, clock)
        for _ in range(4):
            clock.now_s += 1
            daemons[-1].record_pace('v2', SLOW_PACE_S)
        assert daemons[-1].roll_out.is_rejected

    def test_outdated_samples_of_peers_are_not_used(
        self, daemons: list[Daemon], clock: Clock
    ) -> None:
        gossip(daemons, clock)
        clock.now_s += MAX_BASELINE_AGE_S
        for _ in range(4):
            clock.now_s += 1
            daemons[-1].record_pace('v2', SLOW_PACE_S)
        assert not daemons[-1].roll_out.is_rejected


class TestActiveSessions:
    """Active sessions of other daemons on the old version."""

    def test_are_relayed_to_other_daemons(self, clock: Clock) -> None:
        serving = Daemon('d0', clock, active_positions=(0.01,))
        relay, receiver = Daemon('d1', clock), Daemon('d2', clock)
        clock.now_s += PEER_EVIDENCE_TTL_S * 2
        relay.findings.merge(serving.findings.local_findings())
        receiver.findings.merge(relay.findings.local_findings())
        assert receiver.analysis.is_session_active('s', 0.01)
        assert not receiver.analysis.is_session_active('s', 0.02)


class TestLateDaemon:
    """A daemon that starts during a roll-out."""

    def test_adopts_the_order_time_of_its_peers(
        self, daemons: list[Daemon], clock: Clock
    ) -> None:
        clock.now_s += 8
        late = Daemon('d9', clock)
        assert late.roll_out.progress(clock.now_s) == pytest.approx(0)
        clock.now_s += PEER_EVIDENCE_TTL_S * 2
        late.findings.merge(daemons[0].findings.known_findings())
        assert late.roll_out.progress(clock.now_s) == pytest.approx(8.5 / 20)

    def test_undecodable_evidence_is_ignored(
        self, daemons: list[Daemon]
    ) -> None:
        unreadable = Finding('d9', 1, ORDER.subject, b'?', 0)
        daemons[0].findings.merge([unreadable])
        assert not daemons[0].roll_out.is_rejected
