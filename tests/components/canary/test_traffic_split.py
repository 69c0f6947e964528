"""Tests of the target version's traffic share and its sessions."""

import random

import pytest

from marigoldhoist.components.canary.comparison import (
    AnswerSample,
    VersionComparison,
)
from marigoldhoist.components.canary.const import CONTROL_SESSION_SHARE
from marigoldhoist.components.canary.regression import regression_reason
from marigoldhoist.components.canary.traffic_split import (
    RampSchedule,
    RecentSessions,
    session_position,
)
from tests.fakes import FakeClock

CANARY_SHARE = 0.15
SCHEDULE = RampSchedule(CANARY_SHARE)
# Calls of one route to a held roll-out, and the time at which it turns slow.
CALLS_PER_S = 10
SLOW_AFTER_S = 15
HELD_S = 20


class TestShare:
    """The target version's share over the time of a roll-out."""

    @pytest.mark.parametrize('progress', (0, 0.2, 0.49, 0.85))
    def test_canary_phase_is_within_the_budget(self, progress: float) -> None:
        assert 0 < SCHEDULE.target_share(progress) < CANARY_SHARE

    def test_grows_to_all_sessions(self) -> None:
        shares = [SCHEDULE.target_share(step / 20) for step in range(21)]
        assert shares == sorted(shares)
        assert shares[-1] == pytest.approx(1)

    @pytest.mark.parametrize('canary_share', (0.02, 0.0975, 0.15, 0.3))
    def test_undetected_bad_version_stays_within_budget(
        self, canary_share: float
    ) -> None:
        schedule = RampSchedule(canary_share)
        steps = 100_000
        total = sum(
            schedule.target_share(step / steps) for step in range(steps)
        )
        # The reserve is for streams that run twice and for uneven arrivals.
        assert 0.5 * canary_share < total / steps < 0.82 * canary_share

    def test_positions_are_uniformly_distributed(self) -> None:
        share = SCHEDULE.target_share(0.1)
        chosen = sum(
            session_position(f's{number}') < share for number in range(5000)
        )
        assert chosen / 5000 == pytest.approx(share, abs=0.02)


class TestControlGroup:
    """Sessions that stay on the old version until the target is confirmed."""

    def test_held_version_that_turns_slow_is_still_compared(self) -> None:
        clock = FakeClock()
        comparison = VersionComparison(clock.monotonic_s)
        comparison.begin('new')
        rng = random.Random(1)
        slow_from_s = clock.time_s + SLOW_AFTER_S
        for _ in range(HELD_S * CALLS_PER_S):
            clock.time_s += 1 / CALLS_PER_S
            is_on_target = SCHEDULE.is_on_target(
                rng.random(), 1, is_active=False, is_confirmed=False
            )
            is_slow = clock.time_s > slow_from_s and rng.random() > 0.5
            comparison.record(
                'new' if is_on_target else 'old',
                AnswerSample(False, 8 if is_slow and is_on_target else 1, 'r'),
            )
        assert 'slow' in regression_reason(comparison.evidence())

    @pytest.mark.parametrize('progress', (0.97, 1, 3))
    def test_stays_as_large_while_the_roll_out_is_held(
        self, progress: float
    ) -> None:
        share = SCHEDULE.target_share(progress, is_confirmed=False)
        assert share == pytest.approx(1 - CONTROL_SESSION_SHARE)


class TestMove:
    """Sessions that are on the target version, by time."""

    @pytest.mark.parametrize('progress', (0, 0.3, 0.48, 0.499))
    def test_active_session_stays_during_canary_phase(
        self, progress: float
    ) -> None:
        assert not SCHEDULE.is_on_target(0, progress, is_active=True)
        assert SCHEDULE.is_on_target(0, progress, is_active=False)

    def test_all_sessions_move_before_the_drain_ends(self) -> None:
        ramp_ends_at = SCHEDULE.ramp_ends_at
        assert SCHEDULE.is_on_target(0.99, ramp_ends_at, is_active=True)
        assert ramp_ends_at < SCHEDULE.drain_ends_at < 1


class TestSessions:
    """Recent and active sessions."""

    def test_session_keeps_version_until_gap_has_passed(self) -> None:
        sessions = RecentSessions(5)
        sessions.record('s', 'v1', 10)
        assert sessions.version_of('s', 14.9) == 'v1'
        assert not sessions.version_of('s', 15.1)

    def test_lists_active_sessions_on_other_versions(self) -> None:
        sessions = RecentSessions(5)
        sessions.record('old', 'v1', 1)
        sessions.record('now', 'v1', 10)
        sessions.record('new', 'v2', 10)
        positions = list(sessions.active_positions(1, 'v2', 11))
        assert positions == [session_position('now')]
        assert not list(sessions.active_positions(0, 'v2', 11))

    def test_oldest_sessions_are_forgotten(self) -> None:
        sessions = RecentSessions(5)
        for number in range(5000):
            sessions.record(f's{number}', 'v1', 0)
        assert not sessions.version_of('s0', 0)
        assert sessions.version_of('s4999', 0) == 'v1'
