"""Which tasks each workspace sends."""

from typing import Final, Generic, TypeVar

SMOOTHING: Final = 300.0
LEAST_SHARE: Final = 0.001
DIGITS: Final = 2

GoalT = TypeVar('GoalT')


class TaskMixes(Generic[GoalT]):
    """Shares of tasks by workspace, leaning on those of all workspaces."""

    def __init__(self) -> None:
        self.goal_by_workspace: dict[str, GoalT] = {}
        self._counts_by_workspace: dict[str, dict[str, float]] = {}
        self._count_by_task: dict[str, float] = {}

    def goals(self) -> set[GoalT]:
        """Return every workspace's goal, each once."""
        return set(self.goal_by_workspace.values())

    def note(self, workspace: str, task: str, goal: GoalT) -> None:
        """Count a request."""
        self.goal_by_workspace[workspace] = goal
        own = self._counts_by_workspace.setdefault(workspace, {})
        own[task] = own.get(task, 0) + 1
        self._count_by_task[task] = self._count_by_task.get(task, 0) + 1

    def of(self, workspace: str) -> dict[str, float]:
        """Return the share of each task in the workspace's requests."""
        own = self._counts_by_workspace[workspace]
        everything = sum(self._count_by_task.values())
        total = sum(own.values()) + SMOOTHING
        mix: dict[str, float] = {}
        for task, count in self._count_by_task.items():
            smoothed = own.get(task, 0) + SMOOTHING * count / everything
            mix[task] = max(LEAST_SHARE, round(smoothed / total, DIGITS))
        return mix
