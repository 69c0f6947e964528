"""Test that answers are counted once and that quality is estimated well."""

import random

from hypothesis import given
from hypothesis import strategies as st

from marigoldhoist.components.quality.cells import (
    ZERO_COUNTS,
    CellKey,
    Observation,
    OwnCells,
    SummaryMerger,
    doubt_bin,
    rating_category,
)
from marigoldhoist.components.quality.estimator import ArmKey, QualityEstimator

KEY = CellKey('model', 'task', 'small')
ANSWERS = 20_000
EASY_QUALITY = 0.9
HARD_QUALITY = 0.6
TOLERANCE = 0.06
RATED_SHARE = 0.05
RATING_ERROR_RATE = 0.1


class TestSummaryMerger:
    """Test that lost, repeated and late summaries count answers once."""

    @given(st.lists(st.tuples(st.integers(0, 5), st.booleans(), st.booleans())))
    def test_lost_and_repeated_summaries(
        self, steps: list[tuple[int, bool, bool]]
    ) -> None:
        own = OwnCells('first')
        merger = SummaryMerger()
        observed = []
        for new, is_lost, is_repeated in steps:
            for _ in range(new):
                own.note(KEY, 3)
            summary = own.summary()
            for _ in range(0 if is_lost else 1 + is_repeated):
                observed.extend(merger.merge('peer', summary))
        observed.extend(merger.merge('peer', own.summary()))
        assert _answer_count(observed) == sum(new for new, _, _ in steps)

    def test_late_summary_adds_nothing(self) -> None:
        own = OwnCells('first')
        own.note(KEY, 3)
        early = own.summary()
        own.note(KEY, 3)
        merger = SummaryMerger()
        assert _answer_count(merger.merge('peer', own.summary())) == 2
        assert not merger.merge('peer', early)
        assert not merger.merge('peer', own.summary())

    def test_restarted_daemon_counts_from_zero(self) -> None:
        merger = SummaryMerger()
        for incarnation in ('first', 'second'):
            own = OwnCells(incarnation)
            own.note(KEY, 3)
            assert _answer_count(merger.merge('peer', own.summary())) == 1


class TestQualityEstimator:
    """Test estimates from doubt scores and from ratings with errors."""

    def test_learns_quality_of_two_tasks(self) -> None:
        rng = random.Random(4)
        estimator = QualityEstimator(('small', 'large'))
        for task, quality in (('easy', EASY_QUALITY), ('hard', HARD_QUALITY)):
            counts = _counts(rng, quality)
            estimator.observe(Observation(CellKey('m', task, 'small'), counts))
        estimator.fit(100)
        easy = estimator.arm(ArmKey('easy', 'small')).quality
        hard = estimator.arm(ArmKey('hard', 'small')).quality
        assert abs(easy - EASY_QUALITY) < TOLERANCE
        assert abs(hard - HARD_QUALITY) < TOLERANCE

    def test_many_answers_narrow_the_posterior(self) -> None:
        estimator = QualityEstimator(('small', 'large'))
        prior_deviation = estimator.arm(ArmKey('new', 'small')).deviation
        counts = _counts(random.Random(1), 0.8)
        estimator.observe(Observation(CellKey('m', 'old', 'small'), counts))
        estimator.fit(20)
        assert (
            estimator.arm(ArmKey('old', 'small')).deviation
            < prior_deviation / 5
        )


def _answer_count(observed: list[Observation]) -> int:
    return sum(sum(observation.counts) for observation in observed)


def _counts(rng: random.Random, quality: float) -> tuple[int, ...]:
    counts = list(ZERO_COUNTS)
    for _ in range(ANSWERS):
        is_good = rng.random() < quality
        doubt = rng.betavariate(2, 5) if is_good else rng.betavariate(4, 3)
        counts[doubt_bin(doubt)] += 1
        if rng.random() < RATED_SHARE:
            is_rated_good = is_good is not (rng.random() < RATING_ERROR_RATE)
            counts[rating_category(doubt, is_rated_good)] += 1
    return tuple(counts)
