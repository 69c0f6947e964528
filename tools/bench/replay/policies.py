"""The routing policies that the policy benchmark compares."""

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

# Requests recorded for each workspace to convey its exact mix of tasks.
TASK_MIX_REQUESTS = 1000


class ReplayPolicy(Protocol):
    """Chooses the versions that answer the requests of a replay.

    If `is_round_robin`, the fleet selects replicas in turn, without regard
    to their loads.
    """

    name: str
    is_round_robin: bool
    is_timed: bool

    def choose(self, request: CascadeRequest, wait_of: WaitOf) -> Choice | None:
        """Choose the first version, or return None to refuse the request."""

    def escalate(
        self,
        request: CascadeRequest,
        price: float,
        history: History,
        elapsed_s: float,
        wait_of: WaitOf,
    ) -> Choice | None:
        """Choose a version to replace a doubtful answer; None delivers it."""

    def escalate_late(
        self,
        request: CascadeRequest,
        choice: Choice,
        elapsed_s: float,
        wait_of: WaitOf,
    ) -> Choice | None:
        """Choose a version to replace an answer whose hold has ended.

        Its doubt score is not known at that time. None delivers the answer
        as it arrives.
        """

    def record_delivery(
        self, request: CascadeRequest, history: History
    ) -> None:
        """Observe the last answer of the history, which was delivered."""


class FixedPolicy:
    """Streams every answer, from a version that a callback returns."""

    is_timed = False

    def __init__(
        self, name: str, select_version: Callable[[], str], is_round_robin: bool
    ) -> None:
        self.name = name
        self.is_round_robin = is_round_robin
        self._select_version = select_version

    def choose(
        self, _request: CascadeRequest, _wait_of: WaitOf
    ) -> Choice | None:
        """Return the version of the callback; no request is refused."""
        return Choice(
            self._select_version(), is_streamed=True, price=0, hold_s=0
        )

    def escalate(self, *_arguments: object) -> Choice | None:
        """Return None; answers are never replaced."""

    def escalate_late(self, *_arguments: object) -> Choice | None:
        """Return None; answers are never replaced."""

    def record_delivery(self, *_arguments: object) -> None:
        """Ignore the delivery; this policy does not learn."""


class DaemonPolicy(CascadePolicy):
    """The policy of the daemon, with qualities learnt from answers."""

    name = 'ours'
    is_round_robin = False
    is_timed = True


class OraclePolicy(CascadePolicy):
    """The daemon's policy with perfect knowledge, as a reference.

    It plans with the true quality model, and the fleet shows it the true
    loads of the replicas.
    """

    name = 'bound'
    is_round_robin = False
    is_timed = True

    def __init__(self, workload: Workload, rng: random.Random) -> None:
        self._workload = workload
        self._true_model = true_quality_model(workload)
        super().__init__(version_costs(workload), rng)
        goal = Goal(workload.quality_target, workload.first_token_s)
        for rank in range(workload.workspaces):
            for task in workload.tasks:
                self.record_task_share(f'ws-{rank + 1}', task, goal)

    def record_task_share(
        self, workspace: str, task: TaskPart, goal: Goal
    ) -> None:
        """Record the share of a task in a workspace's requests."""
        for _ in range(round(task.share * TASK_MIX_REQUESTS)):
            self._mixes.note(workspace, task.name, goal)

    def set_bad_share(self, version: str, share: float) -> None:
        """Apply the share of a version's answers that turned bad; replan."""
        self._true_model = true_quality_model(self._workload, version, share)
        self.replan(self.versions)

    def quality_model(self) -> QualityModel:
        """Return the true quality model."""
        return self._true_model

    def _new_mean_quality_model(self) -> QualityModel:
        return self._true_model


def version_costs(workload: Workload) -> dict[str, float]:
    """Return the cost of 1,000 tokens of each version."""
    return {version.name: version.cost for version in workload.versions}


def true_quality_model(
    workload: Workload, bad_version: str = '', bad_share: float = 0
) -> ExactQualityModel:
    """Return the quality model of a workload's true probabilities.

    The bad share is the share of the bad version's answers that are bad
    regardless of the request.
    """
    factor_by_version = {version.name: 1.0 for version in workload.versions}
    factor_by_version[bad_version] = 1 - bad_share
    return ExactQualityModel(
        {task.name: task.easy for task in workload.tasks},
        {
            version.name: (
                version.good_if_easy * factor_by_version[version.name],
                version.good_if_hard * factor_by_version[version.name],
            )
            for version in workload.versions
        },
        beta_bin_probabilities(*workload.doubt.good),
        beta_bin_probabilities(*workload.doubt.bad),
    )


def fixed_policies(workload: Workload, rng: random.Random) -> list[FixedPolicy]:
    """Return the policies that do not learn.

    They send every request to the costliest version, every request to the
    cheapest, or draw versions by weight and take replicas round robin.
    """
    cost_by_version = version_costs(workload)
    best = max(cost_by_version, key=cost_by_version.__getitem__)
    cheapest = min(cost_by_version, key=cost_by_version.__getitem__)
    names = list(workload.weights)
    weights = list(workload.weights.values())
    return [
        FixedPolicy('best', lambda: best, is_round_robin=False),
        FixedPolicy('cheapest', lambda: cheapest, is_round_robin=False),
        FixedPolicy(
            'round robin',
            lambda: rng.choices(names, weights)[0],
            is_round_robin=True,
        ),
    ]
