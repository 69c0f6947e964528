"""Daemons judge a new version by what all of them have seen."""

import itertools

import pytest

from marigoldhoist.components.canary.comparison import AnswerSample
from marigoldhoist.components.canary.evidence import Measure
from marigoldhoist.components.canary.models import (
    RollOut,
    RollOutOrder,
    RollOutState,
)
from marigoldhoist.components.canary.verdicts import OTHERS_FRESH_S, Verdicts
from marigoldhoist.components.mirrors.findings import Finding, Findings
from marigoldhoist.core.clock import SystemClock

ORDER = RollOutOrder('s', 'v2', 20, 7)
USUAL_S = 0.04
SLOW_S = 0.12


class Clock(SystemClock):
    """A clock that the test moves."""

    now_s = 100.0

    def boottime_s(self) -> float:
        """Return the time that the test has set."""
        return self.now_s


class Daemon:
    """What one daemon has seen of a roll-out."""

    def __init__(
        self, host: str, clock: Clock, under_way: tuple[float, ...] = ()
    ) -> None:
        self.findings = Findings(host, 1, clock.boottime_s)
        self.verdicts = Verdicts(
            self.findings, lambda _target: under_way, clock
        )
        self.roll_out = RollOut(ORDER, clock.now_s)
        self.verdicts.begin(self.roll_out)

    def see(self, version: str, pace_s: float) -> None:
        """Take in the pace of one stream."""
        answer = AnswerSample(False, pace_s, 'w', Measure.PACE)
        self.verdicts.note('s', version, answer)


@pytest.fixture
def clock() -> Clock:
    """Return a clock."""
    return Clock()


@pytest.fixture
def daemons(clock: Clock) -> list[Daemon]:
    """Return daemons that know the old version's pace."""
    found = [Daemon(f'd{number}', clock) for number in range(4)]
    for daemon, _ in itertools.product(found, range(5)):
        daemon.see('v1', USUAL_S)
    return found


def gossip(daemons: list[Daemon], clock: Clock) -> None:
    """Let each daemon hear the one before it."""
    clock.now_s += OTHERS_FRESH_S * 2
    for teller, listener in itertools.pairwise(daemons):
        listener.findings.hear(teller.findings.all())


class TestTogether:
    """Each daemon sees too little to judge alone."""

    def test_slow_answers_at_several_daemons_are_enough(
        self, daemons: list[Daemon], clock: Clock
    ) -> None:
        for daemon in daemons:
            clock.now_s += 1
            daemon.see('v2', SLOW_S)
            assert not daemon.roll_out.is_held
        gossip(daemons, clock)
        assert daemons[-1].roll_out.is_held

    def test_good_answers_elsewhere_outweigh_slow_ones_here(
        self, daemons: list[Daemon], clock: Clock
    ) -> None:
        for daemon in daemons[:3]:
            for _ in range(4):
                daemon.see('v2', USUAL_S)
        gossip(daemons, clock)
        for _ in range(4):
            clock.now_s += 1
            daemons[-1].see('v2', SLOW_S)
        assert not daemons[-1].roll_out.is_held

    def test_daemon_that_heard_in_time_does_not_judge_a_final_one(
        self, daemons: list[Daemon]
    ) -> None:
        daemons[0].roll_out.state = RollOutState.ROLLED_BACK
        assert not daemons[0].findings.all()


class TestUnderWay:
    """Sessions that another daemon serves on the old version."""

    def test_are_known_to_daemons_that_heard_of_them(
        self, clock: Clock
    ) -> None:
        serving = Daemon('d0', clock, under_way=(0.01,))
        reader, follower = Daemon('d1', clock), Daemon('d2', clock)
        clock.now_s += OTHERS_FRESH_S * 2
        reader.findings.hear(serving.findings.own())
        follower.findings.hear(reader.findings.own())
        assert follower.verdicts.is_under_way('s', 0.01)
        assert not follower.verdicts.is_under_way('s', 0.02)


class TestLateDaemon:
    """A daemon that starts in the middle of a roll-out."""

    def test_takes_over_the_time_of_the_order(
        self, daemons: list[Daemon], clock: Clock
    ) -> None:
        clock.now_s += 8
        late = Daemon('d9', clock)
        assert late.roll_out.progress(clock.now_s) == pytest.approx(0)
        clock.now_s += OTHERS_FRESH_S * 2
        late.findings.hear(daemons[0].findings.all())
        assert late.roll_out.progress(clock.now_s) == pytest.approx(8.5 / 20)

    def test_evidence_of_another_release_is_passed_over(
        self, daemons: list[Daemon]
    ) -> None:
        unreadable = Finding('d9', 1, ORDER.subject, b'?', 0)
        daemons[0].findings.hear([unreadable])
        assert not daemons[0].roll_out.is_held
