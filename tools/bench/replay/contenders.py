"""The policies that the bench sets side by side."""

import random
from collections.abc import Callable
from typing import Protocol

from marigoldhoist.components.quality.distribution import beta_bin_probabilities
from marigoldhoist.components.routing.cascades import (
    CascadePolicy,
    CascadeRequest,
    Choice,
    Goal,
    WaitOf,
)
from marigoldhoist.components.routing.plans import History, QualityModel
from marigoldhoist.components.routing.quality_models import ExactQualityModel
from tools.bench.replay.workload import TaskPart, Workload

MIX_REQUESTS = 1000


class Contender(Protocol):
    """Decides for every request of a replay."""

    name: str
    is_blind: bool
    is_timed: bool

    def choose(self, ask: CascadeRequest, wait_of: WaitOf) -> Choice | None:
        """Choose the first version, or none to refuse."""

    def escalate(
        self,
        ask: CascadeRequest,
        price: float,
        history: History,
        elapsed_s: float,
        wait_of: WaitOf,
    ) -> Choice | None:
        """Choose what follows a doubt, or none to deliver."""

    def escalate_late(
        self,
        ask: CascadeRequest,
        choice: Choice,
        elapsed_s: float,
        wait_of: WaitOf,
    ) -> Choice | None:
        """Choose what follows when the doubt is late, or none to deliver."""

    def record_delivery(self, ask: CascadeRequest, history: History) -> None:
        """Learn of a delivered answer."""


class FixedContender:
    """Streams every request from a version that it picks by itself."""

    is_timed = False

    def __init__(
        self, name: str, pick: Callable[[], str], is_blind: bool
    ) -> None:
        self.name = name
        self.is_blind = is_blind
        self._pick = pick

    def choose(self, _ask: CascadeRequest, _wait_of: WaitOf) -> Choice | None:
        """Choose the version; nothing is refused."""
        return Choice(self._pick(), is_streamed=True, price=0, hold_s=0)

    def escalate(self, *_asked: object) -> Choice | None:
        """Never go on."""

    def escalate_late(self, *_asked: object) -> Choice | None:
        """Never change."""

    def record_delivery(self, *_told: object) -> None:
        """Learn nothing."""


class OurContender(CascadePolicy):
    """The policy that the daemon runs."""

    name = 'ours'
    is_blind = False
    is_timed = True


class BoundContender(CascadePolicy):
    """The same choice with perfect knowledge."""

    name = 'bound'
    is_blind = False
    is_timed = True

    def __init__(self, workload: Workload, rng: random.Random) -> None:
        self._workload = workload
        self._known = true_knowledge(workload)
        super().__init__(costs(workload), rng)
        goal = Goal(workload.quality_target, workload.first_token_s)
        for rank in range(workload.workspaces):
            for task in workload.tasks:
                self.expect(f'ws-{rank + 1}', task, goal)

    def expect(self, workspace: str, task: TaskPart, goal: Goal) -> None:
        """Know the share of a task in a workspace's requests."""
        for _ in range(round(task.share * MIX_REQUESTS)):
            self._mixes.note(workspace, task.name, goal)

    def learn(self, version: str, share: float) -> None:
        """Know that this share of a version's answers is bad from now on."""
        self._known = true_knowledge(self._workload, version, share)
        self.replan(self.versions)

    def quality_model(self) -> QualityModel:
        """Return the true chances."""
        return self._known

    def _new_mean_quality_model(self) -> QualityModel:
        return self._known


def costs(workload: Workload) -> dict[str, float]:
    """Return the cost of 1,000 tokens by version."""
    return {version.name: version.cost for version in workload.versions}


def true_knowledge(
    workload: Workload, bad_version: str = '', bad_share: float = 0
) -> ExactQualityModel:
    """Return what perfect knowledge knows of a workload."""
    well = {version.name: 1.0 for version in workload.versions}
    well[bad_version] = 1 - bad_share
    return ExactQualityModel(
        {task.name: task.easy for task in workload.tasks},
        {
            version.name: (
                version.good_if_easy * well[version.name],
                version.good_if_hard * well[version.name],
            )
            for version in workload.versions
        },
        beta_bin_probabilities(*workload.doubt.good),
        beta_bin_probabilities(*workload.doubt.bad),
    )


def fixed_contenders(
    workload: Workload, rng: random.Random
) -> list[FixedContender]:
    """Return always best, always cheapest, and weights with round robin."""
    cost_by_version = costs(workload)
    best = max(cost_by_version, key=cost_by_version.__getitem__)
    cheapest = min(cost_by_version, key=cost_by_version.__getitem__)
    names = list(workload.weights)
    weights = list(workload.weights.values())
    return [
        FixedContender('best', lambda: best, is_blind=False),
        FixedContender('cheapest', lambda: cheapest, is_blind=False),
        FixedContender(
            'round robin',
            lambda: rng.choices(names, weights)[0],
            is_blind=True,
        ),
    ]
