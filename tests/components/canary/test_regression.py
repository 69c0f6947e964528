"""Error rates of the rule that finds a version that fails too often."""

import math
import random
import statistics

import msgspec
import pytest

from marigoldhoist.components.canary.evidence import (
    MIN_SLOW_SPAN_S,
    GroupCounts,
    Measure,
    RecentCounts,
    SampleGroup,
)
from marigoldhoist.components.canary.likelihood import FAULT_SHARE
from marigoldhoist.components.canary.regression import regression_reason

BASELINE_ANSWERS = 400
RECENT_ANSWERS = 15
ROLL_OUT_ANSWERS = 1000
MAX_FALSE_ALARM_RATE = 1 / 200
# Healthy roll-outs drawn for each false alarm rate.
HEALTHY_SEEDS = range(200)
BAD_SEEDS = range(200)
MAX_MEDIAN_BAD_ANSWERS = 10
MAX_BAD_ANSWERS = 30
MAX_FOUND_LATE_RATE = 0.01


class Route:
    """A route whose answers are drawn, with a failure rate by nature."""

    def __init__(
        self, rng: random.Random, name: str, rate: float, *, is_bad: bool
    ) -> None:
        self._rng = rng
        self._rate = rate
        self._is_bad = is_bad
        self._failures: list[bool] = []
        self.bad_answers = 0
        baseline = sum(rng.random() < rate for _ in range(BASELINE_ANSWERS))
        self._counts = GroupCounts(
            group=SampleGroup(f'{name}/', Measure.START),
            answers=0,
            failures=0,
            compared=0,
            slow=0,
            baseline_answers=BASELINE_ANSWERS,
            baseline_failures=baseline,
            baseline_compared=0,
            baseline_slow=0,
            oldest_slow_age_s=0,
            newest_slow_age_s=math.inf,
            recent=RecentCounts(0, 0, BASELINE_ANSWERS),
        )

    def answer(self) -> bool:
        """Draw an answer of the new version; return whether it failed."""
        is_bad = self._is_bad and self._rng.random() < FAULT_SHARE
        self.bad_answers += is_bad
        is_failure = is_bad or self._rng.random() < self._rate
        self._failures.append(is_failure)
        return is_failure

    @property
    def counts(self) -> GroupCounts:
        """Return the counts of the answers so far."""
        recent = self._failures[-RECENT_ANSWERS:]
        return msgspec.structs.replace(
            self._counts,
            answers=len(self._failures),
            failures=sum(self._failures),
            recent=RecentCounts(len(recent), sum(recent), BASELINE_ANSWERS),
        )


def bad_answers_until_found(
    seed: int, rates: tuple[float, ...], bad_route: int | None
) -> int | None:
    """Return the bad answers until a version is found, None if it is not."""
    rng = random.Random(seed)
    routes = [
        Route(rng, str(number), rate, is_bad=number == bad_route)
        for number, rate in enumerate(rates)
    ]
    for _ in range(ROLL_OUT_ANSWERS):
        # A version is looked at after failures, as only these speak against it.
        if not rng.choice(routes).answer():
            continue
        if regression_reason([route.counts for route in routes]):
            return sum(route.bad_answers for route in routes)
    return None


def slow_counts(
    compared: int,
    slow: int,
    baseline: tuple[int, int],
    measure: Measure = Measure.START,
) -> GroupCounts:
    """Return the counts of one route: compared and slow answers."""
    return GroupCounts(
        group=SampleGroup('route/', measure),
        answers=compared,
        failures=0,
        compared=compared,
        slow=slow,
        baseline_answers=baseline[0],
        baseline_failures=0,
        baseline_compared=baseline[0],
        baseline_slow=baseline[1],
        oldest_slow_age_s=MIN_SLOW_SPAN_S,
        newest_slow_age_s=0,
        recent=RecentCounts(compared, 0, baseline[0]),
    )


def slow_answers_until_found(
    seed: int, slow_share: float, baseline_share: float
) -> int | None:
    """Return the slow answers until a version is found, None if it is not."""
    rng = random.Random(seed)
    baseline_slow = sum(
        rng.random() < baseline_share for _ in range(BASELINE_ANSWERS)
    )
    slow = 0
    for compared in range(1, ROLL_OUT_ANSWERS):
        if rng.random() >= slow_share:
            continue
        slow += 1
        counts = slow_counts(compared, slow, (BASELINE_ANSWERS, baseline_slow))
        if regression_reason([counts]):
            return slow
    return None


def require_found_early(found: list[int | None]) -> None:
    """Check after how many bad answers each version was found, if it was."""
    bad_answers = [count or ROLL_OUT_ANSWERS for count in found]
    late = sum(count > MAX_BAD_ANSWERS for count in bad_answers)
    assert statistics.median(bad_answers) <= MAX_MEDIAN_BAD_ANSWERS
    assert late <= MAX_FOUND_LATE_RATE * len(bad_answers)


class TestSlowVersion:
    """A version is found slow by what its share of slow answers proves."""

    def test_version_with_under_half_slow_answers_is_found(self) -> None:
        assert regression_reason([slow_counts(59, 26, (126, 0))])

    def test_version_that_turns_slow_after_many_answers_is_found(self) -> None:
        counts = slow_counts(600, 20, (400, 0))
        assert not regression_reason([counts])
        counts.recent = RecentCounts(40, 0, 100, 40, 20, MIN_SLOW_SPAN_S)
        assert regression_reason([counts])

    def test_recent_slow_answers_at_one_moment_are_not_bad(self) -> None:
        counts = slow_counts(600, 20, (400, 0))
        counts.recent = RecentCounts(40, 0, 100, 40, 20, MIN_SLOW_SPAN_S / 2)
        assert not regression_reason([counts])

    @pytest.mark.parametrize('baseline_share', (0, 0.01, 0.1))
    def test_healthy_version_is_rarely_found_slow(
        self, baseline_share: float
    ) -> None:
        alarms = [
            seed
            for seed in HEALTHY_SEEDS
            if slow_answers_until_found(seed, baseline_share, baseline_share)
        ]
        assert len(alarms) <= MAX_FALSE_ALARM_RATE * len(HEALTHY_SEEDS)

    @pytest.mark.parametrize('slow_share', (0.35, 0.5, 1))
    @pytest.mark.parametrize('baseline_share', (0, 0.01))
    def test_slow_version_is_found_by_few_answers(
        self, slow_share: float, baseline_share: float
    ) -> None:
        found = [
            slow_answers_until_found(seed, slow_share, baseline_share)
            for seed in BAD_SEEDS
        ]
        require_found_early(found)


class TestErrorRates:
    """Stated error rates, by the failure rates of the baseline's routes."""

    @pytest.mark.parametrize(
        'rates', ((0,), (0.004,), (0.14,), (0.3,), (0.004, 0.14))
    )
    def test_healthy_version_is_rarely_found_bad(
        self, rates: tuple[float, ...]
    ) -> None:
        alarms = [
            seed
            for seed in HEALTHY_SEEDS
            if bad_answers_until_found(seed, rates, None) is not None
        ]
        assert len(alarms) <= MAX_FALSE_ALARM_RATE * len(HEALTHY_SEEDS)

    @pytest.mark.parametrize(
        ('rates', 'bad_route'),
        (
            ((0,), 0),
            ((0.004,), 0),
            ((0.14,), 0),
            ((0.004, 0.14), 0),
            ((0.004, 0.14), 1),
        ),
    )
    def test_version_bad_on_one_route_is_found(
        self, rates: tuple[float, ...], bad_route: int
    ) -> None:
        found = [
            bad_answers_until_found(seed, rates, bad_route)
            for seed in BAD_SEEDS
        ]
        require_found_early(found)
