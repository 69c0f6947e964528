"""A bad version is told from a good one, and a good one is left alone."""

import random

from marigoldhoist.components.canary.comparison import (
    AnswerSample,
    VersionJudge,
)
from marigoldhoist.components.canary.evidence import Measure, complaint

OLD = 'v1'
NEW = 'v2'


def good(
    rng: random.Random, work: str = 'w', factor: float = 1
) -> AnswerSample:
    """Return an answer whose time varies as real ones do."""
    return AnswerSample(False, factor * rng.lognormvariate(0, 0.6), work)


def pace(rng: random.Random, seconds: float, kind: str = 'w') -> AnswerSample:
    """Return the pace of a stream that varies as real ones do."""
    varied = seconds * rng.lognormvariate(0, 0.15)
    return AnswerSample(False, varied, kind, Measure.PACE)


class Judge(VersionJudge):
    """A judge of the new version, whose clock the test moves."""

    def __init__(self) -> None:
        self.now_s = 100.0
        super().__init__(lambda: self.now_s)
        self.begin(NEW)

    def note(self, version: str, answer: AnswerSample) -> None:
        """Let the time pass that such answers are apart."""
        self.now_s += 0.8 if version == NEW else 0.05
        super().note(version, answer)


BAD = AnswerSample(True, 0.1, 'w')


class TestFailures:
    """Versions that fail requests."""

    def test_few_failures_are_enough_where_the_old_version_has_none(
        self,
    ) -> None:
        judge = Judge()
        rng = random.Random(1)
        for _ in range(30):
            judge.note(OLD, good(rng))
        judge.note(NEW, BAD)
        assert not complaint(judge.evidence())
        judge.note(NEW, good(rng))
        judge.note(NEW, BAD)
        assert complaint(judge.evidence())

    def test_failing_as_often_as_the_old_version_is_not_bad(self) -> None:
        judge = Judge()
        rng = random.Random(2)
        for number in range(60):
            version = NEW if number % 3 == 0 else OLD
            is_failure = rng.random() < 0.15
            judge.note(version, BAD if is_failure else good(rng))
        assert not complaint(judge.evidence())

    def test_failure_on_one_kind_of_work_only_is_seen(self) -> None:
        judge = Judge()
        rng = random.Random(3)
        for _ in range(50):
            judge.note(OLD, good(rng, 'other'))
            judge.note(NEW, good(rng, 'other'))
        judge.note(NEW, BAD)
        judge.note(NEW, BAD)
        assert complaint(judge.evidence())


class TestPace:
    """Versions whose streams begin in time and go on slowly."""

    def test_slow_pace_is_seen_in_three_streams(self) -> None:
        judge = Judge()
        rng = random.Random(7)
        for _ in range(20):
            judge.note(OLD, good(rng))
            judge.note(OLD, pace(rng, 0.04))
        for _ in range(3):
            judge.note(NEW, good(rng))
            judge.note(NEW, pace(rng, 0.11))
        assert 'pace' in complaint(judge.evidence())

    def test_pace_that_varies_with_load_is_not_bad(self) -> None:
        judge = Judge()
        rng = random.Random(8)
        for _ in range(60):
            judge.note(OLD, pace(rng, rng.choice((0.03, 0.05, 0.08))))
            judge.note(NEW, pace(rng, rng.choice((0.03, 0.05, 0.08))))
        assert not complaint(judge.evidence())

    def test_slow_pace_on_one_kind_of_work_only_is_seen(self) -> None:
        judge = Judge()
        rng = random.Random(9)
        for _ in range(20):
            for kind in 'abcd':
                judge.note(OLD, pace(rng, 0.04, kind))
        for number in range(6):
            for kind in 'aabbccdd':
                judge.note(OLD, pace(rng, 0.04, kind))
            judge.note(NEW, pace(rng, 0.2, 'a'))
            for _ in range(3):
                judge.note(NEW, pace(rng, 0.04, 'bcd'[number % 3]))
        assert 'on a' in complaint(judge.evidence())

    def test_answers_before_the_order_are_the_measure(self) -> None:
        judge = Judge()
        rng = random.Random(10)
        for _ in range(8):
            judge.note(OLD, pace(rng, 0.04))
        judge.begin(NEW)
        for _ in range(3):
            judge.note(NEW, pace(rng, 0.12))
        assert 'slow' in complaint(judge.evidence())


class TestLoad:
    """Answers are compared with others of the same load."""

    def test_rise_of_the_load_for_all_is_not_bad(self) -> None:
        judge = Judge()
        rng = random.Random(11)
        for _ in range(40):
            judge.note(OLD, good(rng))
        judge.now_s += 1
        for _ in range(5):
            for _ in range(10):
                judge.note(OLD, good(rng, factor=6))
            judge.note(NEW, good(rng, factor=6))
        assert not complaint(judge.evidence())

    def test_slow_answers_of_one_moment_are_not_enough(self) -> None:
        judge = Judge()
        rng = random.Random(13)
        for _ in range(20):
            judge.note(OLD, good(rng))
        for _ in range(4):
            judge.now_s -= 0.8
            judge.note(NEW, good(rng, factor=10))
        assert not complaint(judge.evidence())

    def test_old_answers_are_no_measure(self) -> None:
        judge = Judge()
        rng = random.Random(12)
        for _ in range(20):
            judge.note(OLD, pace(rng, 0.04))
        judge.now_s += 30
        for _ in range(4):
            judge.note(NEW, pace(rng, 0.12))
        assert not complaint(judge.evidence())


class TestTimes:
    """Versions that are slow."""

    def test_slow_version_is_seen(self) -> None:
        judge = Judge()
        rng = random.Random(4)
        for _ in range(20):
            judge.note(OLD, good(rng))
            judge.note(NEW, good(rng, factor=8))
        assert 'slow' in complaint(judge.evidence())

    def test_few_slow_answers_of_unlike_work_are_enough(self) -> None:
        judge = Judge()
        rng = random.Random(6)
        works = [f'w{number}' for number in range(6)]
        for _ in range(60):
            judge.note(OLD, good(rng, rng.choice(works)))
        for work in works[:4]:
            judge.note(NEW, good(rng, work, factor=8))
        assert 'slow' in complaint(judge.evidence())

    def test_good_version_is_seldom_taken_for_slow(self) -> None:
        wrong = sum(self._is_blamed(seed) for seed in range(200))
        assert wrong <= 4

    def test_work_that_only_the_new_version_did_is_not_compared(self) -> None:
        judge = Judge()
        rng = random.Random(5)
        for _ in range(20):
            judge.note(OLD, good(rng, 'small'))
            judge.note(NEW, good(rng, 'large', factor=20))
        assert not complaint(judge.evidence())

    def _is_blamed(self, seed: int) -> bool:
        judge = Judge()
        rng = random.Random(seed)
        for _ in range(12):
            judge.note(OLD, good(rng))
            judge.note(NEW, good(rng))
        return bool(complaint(judge.evidence()))
