"""Tests that degraded versions are detected soon, without false alarms."""

import itertools
import math
import random

from marigoldhoist.components.health.detector import (
    DegradationDetector,
    alarm_threshold,
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
HISTORY_ANSWERS = 20_000
RATE_PER_S = 10


class Scenario:
    """A calibrated detector, and random answers for it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.estimator = QualityEstimator(VERSIONS)
        self.detector = DegradationDetector(self.estimator, VERSIONS)
        for version in VERSIONS:
            counts = list(ZERO_COUNTS)
            for _ in range(HISTORY_ANSWERS):
                counts[self.draw(0)] += 1
                counts[SUCCEEDED] += 1
            self.estimator.observe(
                Observation(key(version, 'a'), tuple(counts))
            )
        self.estimator.fit(100)
        self.detector.calibrate(RATE_PER_S)

    def draw(self, bad_share: float) -> int:
        """Return the doubt bin of a random answer."""
        is_bad = self.rng.random() < bad_share or self.rng.random() > QUALITY
        beta_parameters = (4, 3) if is_bad else (2, 5)
        return doubt_bin(self.rng.betavariate(*beta_parameters))

    def answer(self, version: str, domain: str, *categories: int) -> bool:
        """Observe one answer and return whether there is an alarm."""
        counts = list(ZERO_COUNTS)
        for category in categories:
            counts[category] += 1
        self.detector.observe(Observation(key(version, domain), tuple(counts)))
        return bool(self.detector.alarms(DOMAINS))

    def answers_until_alarm(self, bad_share: float) -> int:
        """Return the number of a bad version's answers until the alarm."""
        for number in itertools.count(1):
            domain = f'domain-{number % 3}'
            if self.answer('medium', domain, self.draw(bad_share), SUCCEEDED):
                return number
        raise AssertionError


def key(version: str, domain: str) -> CellKey:
    """Return the key of a version's cell in a failure domain."""
    return CellKey('model', 'task', version, failure_domain=domain)


class TestDetection:
    """Bad versions are detected within a number of answers."""

    def test_all_answers_bad(self) -> None:
        assert (
            max(Scenario(seed).answers_until_alarm(1) for seed in range(8)) < 50
        )

    def test_a_fifth_of_the_answers_bad(self) -> None:
        delays = [Scenario(seed).answers_until_alarm(0.2) for seed in range(8)]
        assert sorted(delays)[len(delays) // 2] < 500

    def test_failing_version(self) -> None:
        scenario = Scenario(1)
        alarms = [
            scenario.answer('medium', f'domain-{number % 3}', FAILED)
            for number in range(30)
        ]
        assert any(alarms)


class TestFalseAlarms:
    """Chance, a failed domain or a common cause raise no alarm."""

    def test_no_alarm_in_a_hundred_thousand_answers(self) -> None:
        scenario = Scenario(2)
        for number in range(100_000):
            domain = f'domain-{number % 3}'
            version = VERSIONS[number % 3]
            assert not scenario.answer(
                version, domain, scenario.draw(0), SUCCEEDED
            )

    def test_loss_of_a_domain(self) -> None:
        scenario = Scenario(3)
        for _ in range(200):
            assert not scenario.answer('medium', 'domain-1', FAILED)

    def test_most_versions_failing_at_once(self) -> None:
        scenario = Scenario(4)
        for number in range(300):
            for version in VERSIONS:
                scenario.answer(version, f'domain-{number % 3}', FAILED)
        assert not scenario.detector.alarms(DOMAINS)

    def test_threshold_bounds_the_rate_of_false_alarms(self) -> None:
        answers_per_month = RATE_PER_S * 30 * 86_400
        assert math.exp(alarm_threshold(RATE_PER_S)) > answers_per_month
