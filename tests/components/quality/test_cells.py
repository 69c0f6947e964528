"""Counts reach every daemon once, whatever becomes of the messages."""

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
EASY = 0.9
HARD = 0.6
TOLERANCE = 0.06
RATED = 0.05
FLIPPED = 0.1


class TestMerge:
    """A summary replaces the last one of its daemon."""

    @given(st.lists(st.tuples(st.integers(0, 5), st.booleans(), st.booleans())))
    def test_lost_and_repeated_summaries(
        self, steps: list[tuple[int, bool, bool]]
    ) -> None:
        own = OwnCells('first')
        merge = SummaryMerger()
        observed = []
        for new, is_lost, is_repeated in steps:
            for _ in range(new):
                own.note(KEY, 3)
            summary = own.summary()
            for _ in range(0 if is_lost else 1 + is_repeated):
                observed.extend(merge.merge('peer', summary))
        observed.extend(merge.merge('peer', own.summary()))
        assert _answers(observed) == sum(new for new, _, _ in steps)

    def test_late_summary_adds_nothing(self) -> None:
        own = OwnCells('first')
        own.note(KEY, 3)
        early = own.summary()
        own.note(KEY, 3)
        merge = SummaryMerger()
        assert _answers(merge.merge('peer', own.summary())) == 2
        assert not merge.merge('peer', early)
        assert not merge.merge('peer', own.summary())

    def test_restarted_daemon_counts_from_zero(self) -> None:
        merge = SummaryMerger()
        for incarnation in ('first', 'second'):
            own = OwnCells(incarnation)
            own.note(KEY, 3)
            assert _answers(merge.merge('peer', own.summary())) == 1


class TestQualityBook:
    """Quality is learnt from doubts and from ratings that may be wrong."""

    def test_learns_quality_of_two_tasks(self) -> None:
        rng = random.Random(4)
        book = QualityEstimator(('small', 'large'))
        for task, quality in (('easy', EASY), ('hard', HARD)):
            counts = _counts(rng, quality)
            book.observe(Observation(CellKey('m', task, 'small'), counts))
        book.fit(100)
        easy = book.arm(ArmKey('easy', 'small')).quality
        hard = book.arm(ArmKey('hard', 'small')).quality
        assert abs(easy - EASY) < TOLERANCE
        assert abs(hard - HARD) < TOLERANCE

    def test_few_answers_leave_a_wide_posterior(self) -> None:
        book = QualityEstimator(('small', 'large'))
        few = book.arm(ArmKey('new', 'small')).deviation
        counts = _counts(random.Random(1), 0.8)
        book.observe(Observation(CellKey('m', 'old', 'small'), counts))
        book.fit(20)
        assert book.arm(ArmKey('old', 'small')).deviation < few / 5


def _answers(observed: list[Observation]) -> int:
    return sum(sum(one.counts) for one in observed)


def _counts(rng: random.Random, quality: float) -> tuple[int, ...]:
    counts = list(ZERO_COUNTS)
    for _ in range(ANSWERS):
        is_good = rng.random() < quality
        doubt = rng.betavariate(2, 5) if is_good else rng.betavariate(4, 3)
        counts[doubt_bin(doubt)] += 1
        if rng.random() < RATED:
            is_praised = is_good is not (rng.random() < FLIPPED)
            counts[rating_category(doubt, is_praised)] += 1
    return tuple(counts)
