"""Correct quality targets by the quality of the delivered answers.

The quality that a plan expects differs from the delivered quality under load,
when doubt scores arrive late and when ratings are few. An integral controller
closes the gap.
"""

import dataclasses
from typing import Final, Generic, TypeVar

INTEGRAL_GAIN: Final = 0.2
# Weight of one answer in the exponential moving average of the shortfall.
SHORTFALL_WEIGHT: Final = 1 / 300
MIN_CORRECTION: Final = -0.02
MAX_CORRECTION: Final = 0.08

GoalT = TypeVar('GoalT')


@dataclasses.dataclass(slots=True)
class Margin:
    """The correction of one quality target and its mean recent shortfall."""

    correction: float = 0
    mean_shortfall: float = 0


class Margins(Generic[GoalT]):
    """Corrections of the quality targets, by goal."""

    def __init__(self) -> None:
        self._margin_by_goal: dict[GoalT, Margin] = {}

    def of(self, goal: GoalT) -> float:
        """Return the correction to add to the goal's quality target."""
        margin = self._margin_by_goal.get(goal)
        return margin.correction if margin else 0

    def observe(self, goal: GoalT, shortfall: float) -> None:
        """Add the shortfall of one answer: target minus delivered quality."""
        margin = self._margin_by_goal.setdefault(goal, Margin())
        margin.mean_shortfall += SHORTFALL_WEIGHT * (
            shortfall - margin.mean_shortfall
        )

    def adjust(self) -> None:
        """Raise or lower every correction by its mean shortfall, in bounds."""
        for margin in self._margin_by_goal.values():
            moved = margin.correction + INTEGRAL_GAIN * margin.mean_shortfall
            margin.correction = min(MAX_CORRECTION, max(MIN_CORRECTION, moved))
