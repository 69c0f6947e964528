"""Tests of the state that a roll-out should have."""

import math

import pytest

from marigoldhoist.components.canary.models import (
    RollOut,
    RollOutOrder,
    RollOutState,
)
from marigoldhoist.components.canary.status_writer import desired_state
from marigoldhoist.components.canary.traffic_split import RampSchedule
from marigoldhoist.core.clock import SYSTEM_CLOCK

ALLOWED_S = 100
SCHEDULE = RampSchedule(0.15)


def roll_out(
    progress: float,
    state: RollOutState = RollOutState.RUNNING,
    *,
    is_rejected: bool = False,
    is_cleared: bool = True,
    confirmed_for_s: float = ALLOWED_S,
) -> RollOut:
    """Return a roll-out with the given progress and state."""
    ordered_s = SYSTEM_CLOCK.boottime_s() - progress * ALLOWED_S
    order = RollOutOrder('s', 'v2', ALLOWED_S)
    cleared_s = ordered_s if is_cleared else math.inf
    return RollOut(
        order,
        ordered_s,
        state,
        is_rejected,
        cleared_s,
        confirmed_s=SYSTEM_CLOCK.boottime_s() - confirmed_for_s,
    )


class TestDesiredState:
    """State by progress, rejection and requests in flight."""

    @pytest.mark.parametrize(
        ('progress', 'has_old_requests', 'expected'),
        (
            (0, False, RollOutState.RUNNING),
            (0.96, False, RollOutState.RUNNING),
            (0.965, True, RollOutState.RUNNING),
            (0.965, False, RollOutState.COMPLETED),
            (0.97, True, RollOutState.COMPLETED),
        ),
    )
    def test_completes_once_all_requests_are_moved(
        self, progress: float, has_old_requests: bool, expected: RollOutState
    ) -> None:
        state = desired_state(
            roll_out(progress), SCHEDULE, has_old_requests=has_old_requests
        )
        assert state is expected

    @pytest.mark.parametrize('confirmed_for_s', (-math.inf, 0))
    def test_waits_until_the_control_group_is_drained(
        self, confirmed_for_s: float
    ) -> None:
        held = roll_out(1.5, confirmed_for_s=confirmed_for_s)
        state = desired_state(held, SCHEDULE, has_old_requests=False)
        assert state is RollOutState.RUNNING

    def test_new_order_starts_running(self) -> None:
        ordered = roll_out(0, RollOutState.ORDERED)
        state = desired_state(ordered, SCHEDULE, has_old_requests=True)
        assert state is RollOutState.RUNNING

    @pytest.mark.parametrize('progress', (0.97, 1.5))
    def test_version_that_is_not_cleared_stays_running(
        self, progress: float
    ) -> None:
        held = roll_out(progress, is_cleared=False)
        state = desired_state(held, SCHEDULE, has_old_requests=False)
        assert state is RollOutState.RUNNING

    @pytest.mark.parametrize('progress', (0.1, 0.99))
    def test_rejected_version_is_rolled_back(self, progress: float) -> None:
        rejected = roll_out(progress, is_rejected=True)
        state = desired_state(rejected, SCHEDULE, has_old_requests=False)
        assert state is RollOutState.ROLLED_BACK
