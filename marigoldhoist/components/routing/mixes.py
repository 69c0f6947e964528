"""Estimate the share of each task in a workspace's requests."""

from typing import Final, Generic, TypeVar

# Weight of the shares over all workspaces, as a number of requests: a
# workspace with fewer requests gets a mix close to the overall one.
PRIOR_REQUESTS: Final = 300.0
MIN_SHARE: Final = 0.001
# Shares are rounded so that similar workspaces get equal mixes and share one
# solved plan.
SHARE_DIGITS: Final = 2

GoalT = TypeVar('GoalT')


class TaskMixes(Generic[GoalT]):
    """Task shares by workspace, smoothed with those of all workspaces."""

    def __init__(self) -> None:
        self.goal_by_workspace: dict[str, GoalT] = {}
        self._counts_by_workspace: dict[str, dict[str, float]] = {}
        self._count_by_task: dict[str, float] = {}

    def goals(self) -> set[GoalT]:
        """Return the distinct goals of all workspaces."""
        return set(self.goal_by_workspace.values())

    def note(self, workspace: str, task: str, goal: GoalT) -> None:
        """Count a request and store the workspace's current goal."""
        self.goal_by_workspace[workspace] = goal
        own = self._counts_by_workspace.setdefault(workspace, {})
        own[task] = own.get(task, 0) + 1
        self._count_by_task[task] = self._count_by_task.get(task, 0) + 1

    def of(self, workspace: str) -> dict[str, float]:
        """Return the share of each task in the workspace's requests."""
        own = self._counts_by_workspace[workspace]
        all_requests = sum(self._count_by_task.values())
        total = sum(own.values()) + PRIOR_REQUESTS
        mix: dict[str, float] = {}
        for task, count in self._count_by_task.items():
            smoothed = own.get(task, 0) + PRIOR_REQUESTS * count / all_requests
            mix[task] = max(MIN_SHARE, round(smoothed / total, SHARE_DIGITS))
        return mix
