"""Fit a line to measured points."""

import dataclasses
import statistics


@dataclasses.dataclass(frozen=True, slots=True)
class FittedLine:
    """A least-squares line; `per_unit` is its slope."""

    intercept: float
    per_unit: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.per_unit * size


def fit_line(sizes: list[float], measured: list[float]) -> FittedLine:
    """Fit a line to at least two points."""
    line = statistics.linear_regression(sizes, measured)
    return FittedLine(line.intercept, line.slope)
