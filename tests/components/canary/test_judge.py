"""A bad version is told from a good one, and a good one is left alone."""

import random

from marigoldhoist.components.canary.judge import SeenAnswer, VersionJudge

OLD = 'v1'
NEW = 'v2'


def good(rng: random.Random, work: str = 'w', factor: float = 1) -> SeenAnswer:
    """Return an answer whose time varies as real ones do."""
    return SeenAnswer(False, factor * rng.lognormvariate(0, 0.6), work)


BAD = SeenAnswer(True, 0.1, 'w')


class TestFailures:
    """Versions that fail requests."""

    def test_few_failures_are_enough_where_the_old_version_has_none(
        self,
    ) -> None:
        judge = VersionJudge()
        rng = random.Random(1)
        for _ in range(30):
            judge.note(OLD, good(rng))
        judge.note(NEW, BAD)
        assert not judge.complaint(NEW)
        judge.note(NEW, good(rng))
        judge.note(NEW, BAD)
        assert judge.complaint(NEW)

    def test_failing_as_often_as_the_old_version_is_not_bad(self) -> None:
        judge = VersionJudge()
        rng = random.Random(2)
        for number in range(60):
            version = NEW if number % 3 == 0 else OLD
            is_failure = rng.random() < 0.15
            judge.note(version, BAD if is_failure else good(rng))
        assert not judge.complaint(NEW)

    def test_failure_on_one_kind_of_work_only_is_seen(self) -> None:
        judge = VersionJudge()
        rng = random.Random(3)
        for _ in range(50):
            judge.note(OLD, good(rng, 'other'))
            judge.note(NEW, good(rng, 'other'))
        judge.note(NEW, BAD)
        judge.note(NEW, BAD)
        assert judge.complaint(NEW)


class TestTimes:
    """Versions that are slow."""

    def test_slow_version_is_seen(self) -> None:
        judge = VersionJudge()
        rng = random.Random(4)
        for _ in range(20):
            judge.note(OLD, good(rng))
            judge.note(NEW, good(rng, factor=8))
        assert 'slow' in judge.complaint(NEW)

    def test_few_slow_answers_of_unlike_work_are_enough(self) -> None:
        judge = VersionJudge()
        rng = random.Random(6)
        works = [f'w{number}' for number in range(6)]
        for _ in range(60):
            judge.note(OLD, good(rng, rng.choice(works)))
        for work in works[:4]:
            judge.note(NEW, good(rng, work, factor=8))
        assert 'slow' in judge.complaint(NEW)

    def test_good_version_is_seldom_taken_for_slow(self) -> None:
        wrong = sum(self._is_blamed(seed) for seed in range(200))
        assert wrong <= 4

    def test_work_that_only_the_new_version_did_is_not_compared(self) -> None:
        judge = VersionJudge()
        rng = random.Random(5)
        for _ in range(20):
            judge.note(OLD, good(rng, 'small'))
            judge.note(NEW, good(rng, 'large', factor=20))
        assert not judge.complaint(NEW)

    def _is_blamed(self, seed: int) -> bool:
        judge = VersionJudge()
        rng = random.Random(seed)
        for _ in range(12):
            judge.note(OLD, good(rng))
            judge.note(NEW, good(rng))
        return bool(judge.complaint(NEW))
