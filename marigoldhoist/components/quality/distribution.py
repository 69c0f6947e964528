"""Distributions of the doubt score of good and of bad answers."""

import dataclasses
import math
import operator
from collections.abc import Sequence

from marigoldhoist.components.quality.const import (
    BINS,
    MIN_BIN_PROBABILITY,
    MIN_FIT_ANSWERS,
)

# Beta densities are evaluated at these points, several in each bin.
POINTS_PER_BIN = 4
POINTS = BINS * POINTS_PER_BIN
CENTRES = tuple((index + 0.5) / POINTS for index in range(POINTS))
LOGS = tuple(math.log(centre) for centre in CENTRES)
COMPLEMENT_LOGS = tuple(math.log(1 - centre) for centre in CENTRES)
NEWTON_ROUNDS = 2
# Bounds of the fitted alpha and beta.
MIN_PARAMETER = 0.3
MAX_PARAMETER = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class DoubtDistribution:
    """The probability of each doubt bin for good and for bad answers."""

    good: tuple[float, ...]
    bad: tuple[float, ...]

    def bin_probabilities(self, quality: float) -> tuple[float, ...]:
        """Return the probability of each bin for answers of a quality.

        The quality is the probability that an answer is good.
        """
        return tuple(
            quality * good + (1 - quality) * bad
            for good, bad in zip(self.good, self.bad, strict=False)
        )

    def good_probability(self, quality: float, doubt: int) -> float:
        """Return the posterior probability that an answer in a bin is good."""
        good = quality * self.good[doubt]
        bad = (1 - quality) * self.bad[doubt]
        return good / (good + bad)


def beta_bin_probabilities(alpha: float, beta: float) -> tuple[float, ...]:
    """Return the probability of each bin under a beta distribution."""
    points = _points(alpha, beta)
    return tuple(
        max(MIN_BIN_PROBABILITY, sum(points[first : first + POINTS_PER_BIN]))
        for first in range(0, POINTS, POINTS_PER_BIN)
    )


@dataclasses.dataclass(slots=True)
class BetaFit:
    """Fits a beta distribution to weighted bins by maximum likelihood.

    The means of log(doubt) and log(1 - doubt) are sufficient statistics;
    Newton's method finds the parameters whose expected values match them.
    """

    alpha: float
    beta: float
    weights: list[float] = dataclasses.field(
        default_factory=lambda: [0 for _ in range(BINS)]
    )

    def add(self, weights: Sequence[float]) -> None:
        """Add weights of answers by bin."""
        for bin_, weight in enumerate(weights):
            self.weights[bin_] += weight

    def fitted(self) -> 'BetaFit':
        """Return a new fit, without weights, with the fitted parameters.

        Within a bin the answers are assumed to follow the current
        distribution. With too few answers the parameters stay as they are.
        """
        if sum(self.weights) < MIN_FIT_ANSWERS:
            return BetaFit(self.alpha, self.beta)
        target = _mean_logs(self._point_weights())
        fit = BetaFit(self.alpha, self.beta)
        for _ in range(NEWTON_ROUNDS):
            fit = _newton(fit, target)
        return fit

    def _point_weights(self) -> list[float]:
        """Return the weights, distributed over the points of their bins."""
        expected = self.bin_probabilities()
        scales = [
            weight / probability
            for weight, probability in zip(self.weights, expected, strict=True)
        ]
        return [
            point * scales[index // POINTS_PER_BIN]
            for index, point in enumerate(_points(self.alpha, self.beta))
        ]

    def bin_probabilities(self) -> tuple[float, ...]:
        """Return the probability of each bin under the current parameters."""
        return beta_bin_probabilities(self.alpha, self.beta)


def _points(alpha: float, beta: float) -> list[float]:
    densities = [
        math.exp((alpha - 1) * log + (beta - 1) * complement)
        for log, complement in zip(LOGS, COMPLEMENT_LOGS, strict=False)
    ]
    total = sum(densities)
    return [density / total for density in densities]


@dataclasses.dataclass(frozen=True, slots=True)
class MeanLogs:
    """The means of log(doubt) and log(1 - doubt)."""

    doubt: float
    complement: float


def _mean_logs(weights: Sequence[float]) -> MeanLogs:
    total = sum(weights)
    return MeanLogs(
        sum(map(operator.mul, weights, LOGS)) / total,
        sum(map(operator.mul, weights, COMPLEMENT_LOGS)) / total,
    )


def _newton(fit: BetaFit, target: MeanLogs) -> BetaFit:
    """Return the fit after one Newton step towards the target means."""
    points = _points(fit.alpha, fit.beta)
    current = _mean_logs(points)
    logs = [log - current.doubt for log in LOGS]
    complements = [log - current.complement for log in COMPLEMENT_LOGS]
    doubt = _moment(points, logs, logs)
    complement = _moment(points, complements, complements)
    joint = _moment(points, logs, complements)
    gap = MeanLogs(
        target.doubt - current.doubt, target.complement - current.complement
    )
    scale = doubt * complement - joint * joint
    return BetaFit(
        _bounded(
            fit.alpha, (gap.doubt * complement - gap.complement * joint) / scale
        ),
        _bounded(
            fit.beta, (gap.complement * doubt - gap.doubt * joint) / scale
        ),
    )


def _moment(
    weights: Sequence[float], left: Sequence[float], right: Sequence[float]
) -> float:
    products = map(operator.mul, left, right)
    return math.fsum(map(operator.mul, weights, products))


def _bounded(parameter: float, step: float) -> float:
    """Return the parameter after a step of at most half its value."""
    limit = parameter / 2
    moved = parameter + max(-limit, min(limit, step))
    return min(MAX_PARAMETER, max(MIN_PARAMETER, moved))
