"""The judge finds bad versions soon and blames nobody else."""

import itertools
import math
import random

from marigoldhoist.components.health.detector import (
    DegradationDetector,
    threshold,
)
from marigoldhoist.components.quality.cells import (
    ZERO_COUNTS,
    CellKey,
    Observation,
    doubt_bin,
)
from marigoldhoist.components.quality.const import FAILED, SUCCEEDED
from marigoldhoist.components.quality.estimator import QualityEstimator

VERSIONS = ('small', 'medium', 'large')
DOMAINS = dict.fromkeys(VERSIONS, 3)
QUALITY = 0.88
PAST = 20_000
RATE_PER_S = 10


class Trial:
    """A judge with a past, and answers drawn for it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.book = QualityEstimator(VERSIONS)
        self.judge = DegradationDetector(self.book, VERSIONS)
        for version in VERSIONS:
            past = list(ZERO_COUNTS)
            for _ in range(PAST):
                past[self.draw(0)] += 1
                past[SUCCEEDED] += 1
            self.book.observe(Observation(key(version, 'a'), tuple(past)))
        self.book.fit(100)
        self.judge.calibrate(RATE_PER_S)

    def draw(self, bad_share: float) -> int:
        """Draw the doubt of an answer."""
        is_bad = self.rng.random() < bad_share or self.rng.random() > QUALITY
        laws = (4, 3) if is_bad else (2, 5)
        return doubt_bin(self.rng.betavariate(*laws))

    def answer(self, version: str, domain: str, *categories: int) -> bool:
        """Let the judge see an answer; True where it raises an alarm."""
        counts = list(ZERO_COUNTS)
        for category in categories:
            counts[category] += 1
        self.judge.observe(Observation(key(version, domain), tuple(counts)))
        return bool(self.judge.alarms(DOMAINS))

    def answers_until_alarm(self, bad_share: float) -> int:
        """Return how many answers of a bad version the judge needs."""
        for number in itertools.count(1):
            domain = f'domain-{number % 3}'
            if self.answer('medium', domain, self.draw(bad_share), SUCCEEDED):
                return number
        raise AssertionError


def key(version: str, domain: str) -> CellKey:
    """Return the cell of a version in a failure domain."""
    return CellKey('model', 'task', version, failure_domain=domain)


class TestDetection:
    """Bad answers are found within the stated exposure."""

    def test_all_answers_bad(self) -> None:
        assert max(Trial(seed).answers_until_alarm(1) for seed in range(8)) < 50

    def test_a_fifth_of_the_answers_bad(self) -> None:
        delays = [Trial(seed).answers_until_alarm(0.2) for seed in range(8)]
        assert sorted(delays)[len(delays) // 2] < 500

    def test_failing_version(self) -> None:
        trial = Trial(1)
        alarms = [
            trial.answer('medium', f'domain-{number % 3}', FAILED)
            for number in range(30)
        ]
        assert any(alarms)


class TestNoBlame:
    """Neither chance nor a replica, a domain or overload is a bad version."""

    def test_no_alarm_in_a_hundred_thousand_answers(self) -> None:
        trial = Trial(2)
        for number in range(100_000):
            domain = f'domain-{number % 3}'
            version = VERSIONS[number % 3]
            assert not trial.answer(version, domain, trial.draw(0), SUCCEEDED)

    def test_loss_of_a_domain(self) -> None:
        trial = Trial(3)
        for _ in range(200):
            assert not trial.answer('medium', 'domain-1', FAILED)

    def test_most_versions_failing_at_once(self) -> None:
        trial = Trial(4)
        for number in range(300):
            for version in VERSIONS:
                trial.answer(version, f'domain-{number % 3}', FAILED)
        assert not trial.judge.alarms(DOMAINS)

    def test_threshold_bounds_the_rate_of_false_alarms(self) -> None:
        answers_a_month = RATE_PER_S * 30 * 86_400
        assert math.exp(threshold(RATE_PER_S)) > answers_a_month
