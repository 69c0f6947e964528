"""Fit a line through measured points."""

import dataclasses
import statistics


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A least-squares line; `per_unit` is its slope."""

    at_zero: float
    per_unit: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.at_zero + self.per_unit * size


def fit(sizes: list[float], measured: list[float]) -> Slope:
    """Return the line through at least two points."""
    line = statistics.linear_regression(sizes, measured)
    return Slope(line.intercept, line.slope)
