"""Tests that failures are compared with what the baseline does then."""

import itertools

import msgspec
import pytest

from marigoldhoist.components.canary.comparison import (
    AnswerSample,
    VersionComparison,
)
from marigoldhoist.components.canary.const import MIN_RECENT_S
from marigoldhoist.components.canary.evidence import Evidence
from marigoldhoist.components.canary.regression import regression_reason
from tests.components.canary.roll_out_model import Clock

OLD = 'v1'
NEW = 'v2'
STEP_S = 0.1
# Each version answers once in so many steps.
OFTEN = 1
SELDOM = 5


class Comparison:
    """A comparison of two versions that answer and fail at given rates."""

    def __init__(self) -> None:
        self.clock = Clock()
        self._comparison = VersionComparison(self.clock.boottime_s)
        self._comparison.begin(NEW)
        self._numbers = {OLD: itertools.count(), NEW: itertools.count()}
        self.pause_by_version = {OLD: OFTEN, NEW: SELDOM}

    @property
    def evidence(self) -> Evidence:
        """Return the evidence so far."""
        return self._comparison.evidence()

    def play(self, for_s: float, **failing_of_ten: int) -> None:
        """Let both versions answer; so many answers of ten fail."""
        for step in range(int(for_s / STEP_S)):
            self.clock.now_s += STEP_S
            for version, pause in self.pause_by_version.items():
                if step % pause == 0:
                    self._record(version, failing_of_ten.get(version, 0))

    def _record(self, version: str, failing: int) -> None:
        # Three steps of a cycle of ten spread the failures evenly.
        number = next(self._numbers[version]) * 3 % 10
        answer = AnswerSample(number < failing, 0.1, 'w')
        self._comparison.record(version, answer)


@pytest.fixture
def comparison() -> Comparison:
    """Return a comparison without answers."""
    return Comparison()


class TestBaselineOverTime:
    """Failures of the baseline count at the time at which they came."""

    def test_earlier_failures_of_the_baseline_excuse_no_later_ones(
        self, comparison: Comparison
    ) -> None:
        comparison.play(16, v1=4, v2=4)
        assert not regression_reason(comparison.evidence)
        comparison.pause_by_version = {OLD: SELDOM, NEW: OFTEN}
        comparison.play(10, v2=5)
        assert regression_reason(comparison.evidence)

    def test_failures_that_begin_in_all_versions_condemn_none(
        self, comparison: Comparison
    ) -> None:
        comparison.play(20)
        comparison.pause_by_version = {OLD: SELDOM, NEW: OFTEN}
        comparison.play(6, v1=3, v2=3)
        assert not regression_reason(comparison.evidence)

    def test_failures_of_a_short_time_in_all_versions_condemn_none(
        self, comparison: Comparison
    ) -> None:
        comparison.play(12)
        comparison.play(3, v1=5, v2=5)
        comparison.play(10)
        assert not regression_reason(comparison.evidence)


class TestEarlierRelease:
    """Evidence of a daemon of an earlier release has no times."""

    def test_recent_answers_are_compared_with_the_whole_baseline(
        self, comparison: Comparison
    ) -> None:
        comparison.play(MIN_RECENT_S, v2=7)
        earlier = [
            msgspec.structs.replace(counts, series=[])
            for counts in comparison.evidence
        ]
        assert regression_reason(earlier)
