"""Tests that a version is cleared only if its answers speak for it."""

import math
import random

import pytest

from marigoldhoist.components.canary.clearance import (
    TO_COMPLETE,
    TO_RAMP_UP,
    assess,
)
from marigoldhoist.components.canary.evidence import (
    Evidence,
    GroupCounts,
    Measure,
    RecentCounts,
    SampleGroup,
)
from marigoldhoist.components.canary.likelihood import FAULT_SHARE
from marigoldhoist.components.canary.regression import regression_reason
from marigoldhoist.components.canary.strata import Stratum, StratumSeries

BASELINE_ANSWERS = 200
SEEDS = range(1000)


def counts(
    route: str,
    answers: int,
    failures: int,
    baseline: tuple[int, int] = (BASELINE_ANSWERS, 0),
    *,
    slow: int = 0,
    is_in_use: bool = True,
) -> GroupCounts:
    """Return the counts of a route: answers and failures of both sides."""
    return GroupCounts(
        group=SampleGroup(f'{route}/m', Measure.START),
        answers=answers,
        failures=failures,
        compared=answers,
        slow=slow,
        baseline_answers=baseline[0],
        baseline_failures=baseline[1],
        baseline_compared=baseline[0],
        baseline_slow=0,
        oldest_slow_age_s=0,
        newest_slow_age_s=math.inf,
        recent=RecentCounts(answers, failures, baseline[0] if is_in_use else 0),
    )


def is_cleared(*evidence: GroupCounts) -> bool:
    """Return whether the evidence allows to complete a roll-out."""
    return assess(list(evidence)).allows(TO_COMPLETE)


class TestEvidence:
    """What clears a version, and what does not."""

    def test_service_without_requests_is_cleared(self) -> None:
        assert is_cleared()

    def test_no_answers_clear_nothing(self) -> None:
        assert not is_cleared(counts('a', 0, 0))
        assert not is_cleared(counts('a', 0, 0, is_in_use=False))

    def test_good_answers_clear(self) -> None:
        assert is_cleared(counts('a', 10, 0))

    def test_route_without_answers_is_not_cleared_by_others(self) -> None:
        assert not is_cleared(counts('a', 50, 0), counts('b', 0, 0))

    def test_rare_route_is_not_waited_for(self) -> None:
        assert is_cleared(counts('a', 50, 0), counts('b', 0, 0, (2, 0)))

    def test_route_that_was_removed_is_not_waited_for(self) -> None:
        removed = counts('b', 0, 0, is_in_use=False)
        assert is_cleared(counts('a', 50, 0), removed)

    def test_route_that_only_the_new_version_serves_is_waited_for(self) -> None:
        moved = counts('b', 4, 1, (BASELINE_ANSWERS, 60), is_in_use=False)
        assert not is_cleared(counts('a', 50, 0, is_in_use=False), moved)

    def test_route_that_fails_in_every_version_is_not_waited_for(self) -> None:
        failing = counts('b', 20, 20, (BASELINE_ANSWERS, BASELINE_ANSWERS))
        assert is_cleared(counts('a', 50, 0), failing)
        assert not is_cleared(failing)

    def test_failure_on_a_rare_route_is_left_to_the_regression_rule(
        self,
    ) -> None:
        evidence = [counts('a', 50, 0), counts('b', 1, 1, (2, 0))]
        assert is_cleared(*evidence)
        assert not regression_reason(evidence)
        evidence[1] = counts('b', 6, 6, (2, 0))
        assert regression_reason(evidence)

    def test_failures_as_frequent_as_the_baselines_clear(self) -> None:
        assert is_cleared(counts('a', 20, 6, (BASELINE_ANSWERS, 60)))

    def test_slow_answers_clear_nothing(self) -> None:
        assert not is_cleared(counts('a', 20, 0, slow=10))

    def test_some_slow_answers_hold_the_ramp(self) -> None:
        assessment = assess([counts('a', 9, 0, slow=1)])
        assert assessment.slowness < 0
        assert not assessment.allows(TO_RAMP_UP)
        assert assess([counts('a', 40, 0, slow=1)]).allows(TO_RAMP_UP)

    def test_recent_slow_answers_clear_nothing(self) -> None:
        evidence = counts('a', 100, 0, slow=1)
        assert assess([evidence]).allows(TO_COMPLETE)
        evidence.recent = RecentCounts(
            20, 0, BASELINE_ANSWERS, compared=10, slow=5
        )
        assert not assess([evidence]).allows(TO_COMPLETE)

    def test_latest_failures_hold_a_version_that_earlier_answers_cleared(
        self,
    ) -> None:
        evidence = counts('a', 40, 4)
        earlier = Stratum(4, 34, 0, BASELINE_ANSWERS, 0)
        latest = Stratum(0, 6, 4, 20, 0)
        evidence.series = [StratumSeries(0, [latest, earlier])]
        assert assess([evidence]).failures < math.log(TO_COMPLETE.service)
        assert not is_cleared(evidence)

    def test_models_of_a_route_are_taken_together(self) -> None:
        first, second = counts('a', 5, 0), counts('a', 5, 0)
        second.group = SampleGroup('a/other', Measure.START)
        assert is_cleared(first, second)


class TestErrorRates:
    """How often a bad version is cleared, by baseline failure rate."""

    @pytest.mark.parametrize('baseline_rate', (0, 0.004, 0.14, 0.3))
    @pytest.mark.parametrize('answers', (5, 20, 60))
    def test_bad_version_is_rarely_cleared(
        self, baseline_rate: float, answers: int
    ) -> None:
        rate = baseline_rate + FAULT_SHARE * (1 - baseline_rate)
        cleared = sum(
            is_cleared(*_drawn(seed, answers, rate, baseline_rate))
            for seed in SEEDS
        )
        assert cleared <= len(SEEDS) * TO_COMPLETE.service

    @pytest.mark.parametrize('baseline_rate', (0, 0.004, 0.14, 0.3))
    def test_good_version_is_cleared_by_sixty_answers(
        self, baseline_rate: float
    ) -> None:
        cleared = sum(
            is_cleared(*_drawn(seed, 60, baseline_rate, baseline_rate))
            for seed in SEEDS
        )
        assert cleared >= len(SEEDS) * (1 - TO_COMPLETE.service)

    def test_ramp_needs_less_evidence_than_completion(self) -> None:
        evidence = [counts('a', 12, 0), counts('b', 0, 0)]
        assert assess(evidence).allows(TO_RAMP_UP)
        assert not assess(evidence).allows(TO_COMPLETE)


def _drawn(
    seed: int, answers: int, rate: float, baseline_rate: float
) -> Evidence:
    """Return drawn evidence of a route with the given failure rates."""
    rng = random.Random(seed)
    failures = sum(rng.random() < rate for _ in range(answers))
    baseline = sum(
        rng.random() < baseline_rate for _ in range(BASELINE_ANSWERS)
    )
    return [counts('a', answers, failures, (BASELINE_ANSWERS, baseline))]
