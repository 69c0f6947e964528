"""Correct a goal by the quality that answers were delivered with.

What a plan expects and what comes true differ under load, with late
doubts and with few ratings; an integral term closes the gap.
"""

import dataclasses
from typing import Final, Generic, TypeVar

GAIN: Final = 0.2
MEMORY: Final = 1 / 300
LEAST: Final = -0.02
LARGEST: Final = 0.08

GoalT = TypeVar('GoalT')


@dataclasses.dataclass(slots=True)
class Margin:
    """What is added to a target, and the mean shortfall seen lately."""

    added: float = 0
    shortfall: float = 0


class Margins(Generic[GoalT]):
    """Margins by goal."""

    def __init__(self) -> None:
        self._margin_by_goal: dict[GoalT, Margin] = {}

    def of(self, goal: GoalT) -> float:
        """Return what to add to the goal's target."""
        margin = self._margin_by_goal.get(goal)
        return margin.added if margin else 0

    def note(self, goal: GoalT, shortfall: float) -> None:
        """Learn by how much one answer's quality lies below the target."""
        margin = self._margin_by_goal.setdefault(goal, Margin())
        margin.shortfall += MEMORY * (shortfall - margin.shortfall)

    def adjust(self) -> None:
        """Move every margin against its shortfall, within bounds."""
        for margin in self._margin_by_goal.values():
            moved = margin.added + GAIN * margin.shortfall
            margin.added = min(LARGEST, max(LEAST, moved))
