"""How doubt is spread over good and over bad answers."""

import dataclasses
import math
import operator
from collections.abc import Sequence

from marigoldhoist.components.quality.const import (
    BINS,
    LEAST_CHANCE,
    LEAST_LAW_ANSWERS,
)

POINTS_PER_BIN = 4
POINTS = BINS * POINTS_PER_BIN
CENTRES = tuple((number + 0.5) / POINTS for number in range(POINTS))
LOGS = tuple(math.log(centre) for centre in CENTRES)
OTHER_LOGS = tuple(math.log(1 - centre) for centre in CENTRES)
NEWTON_ROUNDS = 2
LEAST = 0.3
LARGEST = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class DoubtDistribution:
    """Chances of each doubt bin for a good and for a bad answer."""

    good: tuple[float, ...]
    bad: tuple[float, ...]

    def bin_probabilities(self, quality: float) -> tuple[float, ...]:
        """Return the chance of each bin for answers of that quality."""
        return tuple(
            quality * good + (1 - quality) * bad
            for good, bad in zip(self.good, self.bad, strict=False)
        )

    def good_probability(self, quality: float, doubt: int) -> float:
        """Return the chance that an answer in that bin is good."""
        good = quality * self.good[doubt]
        bad = (1 - quality) * self.bad[doubt]
        return good / (good + bad)


def beta_bin_probabilities(alpha: float, beta: float) -> tuple[float, ...]:
    """Return the chances of the bins under a beta law."""
    points = _points(alpha, beta)
    return tuple(
        max(LEAST_CHANCE, sum(points[first : first + POINTS_PER_BIN]))
        for first in range(0, POINTS, POINTS_PER_BIN)
    )


@dataclasses.dataclass(slots=True)
class BetaFit:
    """Fits a beta law to weighted bins by maximum likelihood.

    The likelihood depends on the mean of log doubt and of log(1 - doubt)
    alone; Newton's method finds the parameters that give these means.
    """

    alpha: float
    beta: float
    weights: list[float] = dataclasses.field(
        default_factory=lambda: [0 for _ in range(BINS)]
    )

    def add(self, weights: Sequence[float]) -> None:
        """Add answers by bin."""
        for bin_, weight in enumerate(weights):
            self.weights[bin_] += weight

    def fitted(self) -> 'BetaFit':
        """Return a fit that starts from the parameters found.

        Within a bin the answers are taken to lie as the present law says.
        """
        if sum(self.weights) < LEAST_LAW_ANSWERS:
            return BetaFit(self.alpha, self.beta)
        goal = _mean_logs(self._spread())
        fit = BetaFit(self.alpha, self.beta)
        for _ in range(NEWTON_ROUNDS):
            fit = _newton(fit, goal)
        return fit

    def _spread(self) -> list[float]:
        """Return the weights, spread over the points of their bins."""
        usual = self.bin_probabilities()
        scales = [
            weight / chance
            for weight, chance in zip(self.weights, usual, strict=True)
        ]
        return [
            point * scales[number // POINTS_PER_BIN]
            for number, point in enumerate(_points(self.alpha, self.beta))
        ]

    def bin_probabilities(self) -> tuple[float, ...]:
        """Return the chances of the bins."""
        return beta_bin_probabilities(self.alpha, self.beta)


def _points(alpha: float, beta: float) -> list[float]:
    raw = [
        math.exp((alpha - 1) * log + (beta - 1) * other)
        for log, other in zip(LOGS, OTHER_LOGS, strict=False)
    ]
    total = sum(raw)
    return [chance / total for chance in raw]


@dataclasses.dataclass(frozen=True, slots=True)
class MeanLogs:
    """Means of log doubt and of log(1 - doubt)."""

    doubt: float
    other: float


def _mean_logs(weights: Sequence[float]) -> MeanLogs:
    total = sum(weights)
    return MeanLogs(
        sum(map(operator.mul, weights, LOGS)) / total,
        sum(map(operator.mul, weights, OTHER_LOGS)) / total,
    )


def _newton(fit: BetaFit, goal: MeanLogs) -> BetaFit:
    """Take one step towards the parameters that have these means."""
    points = _points(fit.alpha, fit.beta)
    now = _mean_logs(points)
    logs = [log - now.doubt for log in LOGS]
    others = [log - now.other for log in OTHER_LOGS]
    doubt = _moment(points, logs, logs)
    other = _moment(points, others, others)
    joint = _moment(points, logs, others)
    gap = MeanLogs(goal.doubt - now.doubt, goal.other - now.other)
    scale = doubt * other - joint * joint
    return BetaFit(
        _bounded(fit.alpha, (gap.doubt * other - gap.other * joint) / scale),
        _bounded(fit.beta, (gap.other * doubt - gap.doubt * joint) / scale),
    )


def _moment(
    weights: Sequence[float], left: Sequence[float], right: Sequence[float]
) -> float:
    products = map(operator.mul, left, right)
    return math.fsum(map(operator.mul, weights, products))


def _bounded(parameter: float, step: float) -> float:
    """Take a step, at most by half the parameter."""
    limit = parameter / 2
    moved = parameter + max(-limit, min(limit, step))
    return min(LARGEST, max(LEAST, moved))
