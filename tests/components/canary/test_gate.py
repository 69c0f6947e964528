"""Tests of what lets a roll-out go on."""

from typing import cast

import pytest

from marigoldhoist.components.canary.analysis import CanaryAnalysis
from marigoldhoist.components.canary.clearance import Assessment, assess
from marigoldhoist.components.canary.const import CONTROL_DRAIN_S
from marigoldhoist.components.canary.gate import (
    CONFIRMATION_S,
    RollOutGate,
)
from marigoldhoist.components.canary.models import RollOut, RollOutOrder
from marigoldhoist.components.canary.traffic_split import RampSchedule
from marigoldhoist.core.clock import SystemClock
from tests.components.canary.test_clearance import counts

ORDER = RollOutOrder('s', 'v2', 100)
SCHEDULE = RampSchedule(0.15)
BEFORE_RAMP_S = ORDER.allowed_s / 2
SPEAKS_FOR = assess([counts('a', 20, 0)])
SPEAKS_AGAINST = assess([counts('a', 20, 0, slow=10)])


class Clock(SystemClock):
    """A clock that the test sets."""

    now_s: float = ORDER.allowed_s

    def boottime_s(self) -> float:
        """Return the time that the test set."""
        return self.now_s


class FixedAnalysis:
    """An analysis whose assessment the test sets."""

    def __init__(self, assessment: Assessment) -> None:
        self.assessment = assessment

    def assess(self, _service: str) -> Assessment:
        """Return the assessment that the test set."""
        return self.assessment


class ControlledRollOut:
    """A roll-out at its deadline, with its gate."""

    def __init__(self, assessment: Assessment) -> None:
        self.clock = Clock()
        self.analysis = FixedAnalysis(assessment)
        self.gate = RollOutGate(
            cast(CanaryAnalysis, self.analysis), SCHEDULE, self.clock
        )
        self.roll_out = RollOut(ORDER, 0, cleared_s=0)

    def has_released(self, after_s: float = CONFIRMATION_S) -> bool:
        """Let the gate decide now and later; return whether it released."""
        self.gate.update_control_group(self.roll_out)
        self.clock.now_s += after_s
        self.gate.update_control_group(self.roll_out)
        return self.roll_out.confirmed_s <= self.clock.now_s


class TestControlGroup:
    """When the sessions that stayed for comparison move to the target."""

    def test_stays_while_the_evidence_speaks_against_the_version(self) -> None:
        controlled = ControlledRollOut(SPEAKS_AGAINST)
        assert not controlled.has_released()
        controlled.analysis.assessment = SPEAKS_FOR
        assert controlled.has_released()

    def test_stays_until_the_evidence_spoke_for_the_version_for_a_while(
        self,
    ) -> None:
        controlled = ControlledRollOut(SPEAKS_FOR)
        assert not controlled.has_released(CONFIRMATION_S / 2)
        controlled.analysis.assessment = SPEAKS_AGAINST
        assert not controlled.has_released(CONFIRMATION_S / 4)
        controlled.analysis.assessment = SPEAKS_FOR
        assert not controlled.has_released(CONFIRMATION_S / 2)
        assert controlled.has_released(CONFIRMATION_S / 2)

    def test_time_before_the_ramp_counts(self) -> None:
        controlled = ControlledRollOut(SPEAKS_FOR)
        ramp_starts_s = SCHEDULE.ramp_starts_at * ORDER.allowed_s
        controlled.clock.now_s = ramp_starts_s - CONFIRMATION_S / 2
        assert not controlled.has_released(CONFIRMATION_S / 4)
        assert controlled.has_released(CONFIRMATION_S * 7 / 8)

    def test_stays_before_the_ramp(self) -> None:
        controlled = ControlledRollOut(SPEAKS_FOR)
        controlled.clock.now_s = BEFORE_RAMP_S
        assert not controlled.has_released()

    def test_is_released_once(self) -> None:
        controlled = ControlledRollOut(SPEAKS_FOR)
        assert controlled.has_released()
        confirmed_s = controlled.roll_out.confirmed_s
        controlled.analysis.assessment = SPEAKS_AGAINST
        controlled.clock.now_s += CONTROL_DRAIN_S
        assert controlled.has_released()
        assert controlled.roll_out.confirmed_s == pytest.approx(confirmed_s)
