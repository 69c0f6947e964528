"""Choose the first version of a request and its escalations.

One policy serves one model. It observes requests and answers, recomputes its
plans periodically, and looks the current plan up for each request. Engines
report a doubt score in 0..1 with an answer, which is higher for bad answers.
An answer that is held back until its score is known can be replaced by that of
a costlier version.
"""

import dataclasses
import random
from collections.abc import Callable, Container, Iterable, Mapping
from typing import Final

from marigoldhoist.components.quality.cells import Observation
from marigoldhoist.components.quality.estimator import QualityEstimator
from marigoldhoist.components.routing.margins import Margins
from marigoldhoist.components.routing.mixes import TaskMixes
from marigoldhoist.components.routing.plans import (
    History,
    IsUsable,
    Mixture,
    Plan,
    Planner,
    QualityModel,
    Stage,
    Start,
)
from marigoldhoist.components.routing.quality_models import SampledQualityModel
from marigoldhoist.components.routing.shares import is_within_share
from marigoldhoist.components.routing.times import VersionTimes

# The table states the costs of versions per this many tokens.
COST_UNIT_TOKENS: Final = 1000
# Assumed length of an answer, to convert token costs to answer costs.
MEAN_ANSWER_TOKENS: Final = 150
# Standard deviations of the qualities that are sampled for planning, in
# units of the posterior standard deviation.
SAMPLING_WIDTH: Final = 0.5
# An answer that is less likely than this to complete during its hold is
# streamed instead.
MIN_IN_TIME_PROBABILITY: Final = 0.3
# Share of the requests without a version in time that are admitted anyway.
PROBE_SHARE: Final = 0.02
# Longest wait for a held answer, as a share of the first token deadline.
HELD_WAIT_SHARE: Final = 0.25

# Takes a version; returns the expected seconds to its first token, or None if
# the request may not use it now.
WaitOf = Callable[[str], float | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Goal:
    """A workspace's targets: mean quality and seconds to the first token."""

    quality: float
    first_token_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CascadeRequest:
    """The properties of a request that a cascade decides by.

    The key, the request's id, assigns the request to roll-out shares.
    """

    workspace: str
    task: str
    key: str
    goal: Goal


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A version to run, and the price on quality of the plan behind it.

    A streamed answer is forwarded as it arrives. Any other is held back until
    its doubt score is known, at most until `hold_s` seconds after the
    request's arrival.
    """

    version: str
    is_streamed: bool
    price: float
    hold_s: float


class CascadePolicy:
    """Plans cascades over one model's versions, from cheap to costly."""

    def __init__(
        self, cost_by_version: Mapping[str, float], rng: random.Random
    ) -> None:
        ordered = sorted(cost_by_version, key=cost_by_version.__getitem__)
        self.versions = tuple(ordered)
        self.estimator = QualityEstimator(ordered)
        self._times = VersionTimes(self.versions)
        self.times_by_version = self._times.times_by_version
        self.share_by_version: dict[str, float] = {}
        self.rng = rng
        self._cost_by_version = dict(cost_by_version)
        self._planner_by_goal: dict[Goal, Planner] = {}
        self._usable_versions: tuple[str, ...] = self.versions
        self._mixes: TaskMixes[Goal] = TaskMixes()
        self._mixture_by_workspace: dict[str, Mixture] = {}
        self._margins: Margins[Goal] = Margins()
        self._mean_quality_model: QualityModel = self._new_mean_quality_model()

    def observe(self, observations: Iterable[Observation]) -> None:
        """Add answers and ratings of all daemons to the quality estimates."""
        for observation in observations:
            self.estimator.observe(observation)

    def replan(self, usable: Container[str]) -> None:
        """Refit the quality estimates and solve the plan of each workspace."""
        self.estimator.fit()
        self._margins.adjust()
        self._mean_quality_model = self._new_mean_quality_model()
        self._usable_versions = tuple(
            name for name in self.versions if name in usable
        )
        quality_model = self.quality_model()
        self._planner_by_goal = {
            goal: self._new_planner(goal, quality_model)
            for goal in self._mixes.goals()
        }
        solved: dict[tuple[object, ...], Mixture] = {}
        for workspace, goal in self._mixes.goal_by_workspace.items():
            mix = self._mixes.of(workspace)
            problem = (goal, *mix.items())
            if problem not in solved:
                solved[problem] = self._solve_mixture(goal, mix)
            self._mixture_by_workspace[workspace] = solved[problem]

    def choose(self, request: CascadeRequest, wait_of: WaitOf) -> Choice | None:
        """Choose the first version, or None if no answer can be in time."""
        self._mixes.note(request.workspace, request.task, request.goal)
        plan = self._pick_plan(request)
        admitted_wait_s = admitted_waits(
            request.key, self.share_by_version, wait_of
        )
        for start in plan.starts_by_task[request.task]:
            wait_s = admitted_wait_s(start.version)
            if wait_s is not None and wait_s <= _wait_limit_s(
                request.goal, start
            ):
                return self._start_choice(request.goal, plan, start)
        return self._probe(request, plan, admitted_wait_s)

    def escalate(
        self,
        request: CascadeRequest,
        price: float,
        history: History,
        elapsed_s: float,
        wait_of: WaitOf,
    ) -> Choice | None:
        """Choose a costlier version after a doubtful answer, if worth it."""
        remaining_s = request.goal.first_token_s - elapsed_s
        version = self._planner(request.goal).escalate(
            request.task,
            history,
            price,
            usable_within(
                remaining_s,
                admitted_waits(request.key, self.share_by_version, wait_of),
            ),
        )
        return self._escalation(request, version, price, elapsed_s)

    def escalate_late(
        self,
        request: CascadeRequest,
        choice: Choice,
        elapsed_s: float,
        wait_of: WaitOf,
    ) -> Choice | None:
        """Choose a version to replace an answer whose hold has ended.

        The doubt score of the held answer is not known at that time.
        """
        remaining_s = request.goal.first_token_s - elapsed_s
        version = self._planner(request.goal).escalate_late(
            request.task,
            choice.version,
            choice.price,
            usable_within(
                remaining_s,
                admitted_waits(request.key, self.share_by_version, wait_of),
            ),
        )
        if not version:
            return None
        return Choice(version, is_streamed=True, price=choice.price, hold_s=0)

    def record_delivery(
        self, request: CascadeRequest, history: History
    ) -> None:
        """Record the expected quality of the last answer of the history."""
        quality = self._mean_quality_model.good_probability(
            request.task, history
        )
        self._margins.observe(request.goal, request.goal.quality - quality)

    def quality_model(self) -> QualityModel:
        """Return a quality model sampled from the current estimates."""
        return SampledQualityModel(self.estimator, self.rng, SAMPLING_WIDTH)

    def _start_choice(self, goal: Goal, plan: Plan, start: Start) -> Choice:
        hold_s = self._times.hold_s(goal.first_token_s, start.version)
        return Choice(start.version, start.is_streamed, plan.price, hold_s)

    def _probe(
        self, request: CascadeRequest, plan: Plan, wait_of: WaitOf
    ) -> Choice | None:
        """Admit a small share anyway, so that the times stay up to date."""
        if self.rng.random() >= PROBE_SHARE:
            return None
        for start in plan.starts_by_task[request.task]:
            if wait_of(start.version) is not None:
                return self._start_choice(request.goal, plan, start)
        return None

    def _new_mean_quality_model(self) -> QualityModel:
        return SampledQualityModel(self.estimator, self.rng, 0)

    def _escalation(
        self,
        request: CascadeRequest,
        version: str,
        price: float,
        elapsed_s: float,
    ) -> Choice | None:
        if not version:
            return None
        hold_s = self._times.hold_s(request.goal.first_token_s, version)
        in_time_probability = self.times_by_version[version].probability_within(
            hold_s - elapsed_s
        )
        is_last = version == self.versions[-1]
        is_streamed = is_last or in_time_probability < MIN_IN_TIME_PROBABILITY
        return Choice(version, is_streamed, price, hold_s)

    def _solve_mixture(self, goal: Goal, mix: Mapping[str, float]) -> Mixture:
        target = min(1, goal.quality + self._margins.of(goal))
        return self._planner(goal).solve(target, mix)

    def _planner(self, goal: Goal) -> Planner:
        planner = self._planner_by_goal.get(goal)
        if planner is None:
            planner = self._new_planner(goal, self.quality_model())
            self._planner_by_goal[goal] = planner
        return planner

    def _pick_plan(self, request: CascadeRequest) -> Plan:
        mixture = self._mixture_by_workspace.get(request.workspace)
        if mixture is None or request.task not in mixture.lower.starts_by_task:
            mixture = self._solve_mixture(
                request.goal, self._mixes.of(request.workspace)
            )
            self._mixture_by_workspace[request.workspace] = mixture
        if self.rng.random() < mixture.higher_share:
            return mixture.higher
        return mixture.lower

    def _new_planner(self, goal: Goal, quality_model: QualityModel) -> Planner:
        stages = [
            Stage(
                name,
                self._cost_by_version[name]
                * MEAN_ANSWER_TOKENS
                / COST_UNIT_TOKENS,
                self._times.probability_in_time(goal.first_token_s, name),
            )
            for name in self._usable_versions
        ]
        return Planner(quality_model, stages)


def admitted_waits(
    key: str, share_by_version: Mapping[str, float], wait_of: WaitOf
) -> WaitOf:
    """Limit the versions to those whose roll-out share has the request."""
    if not share_by_version:
        return wait_of

    def admitted_wait_s(version: str) -> float | None:
        share = share_by_version.get(version, 1)
        if not is_within_share(key, version, share):
            return None
        return wait_of(version)

    return admitted_wait_s


def usable_within(limit_s: float, wait_of: WaitOf) -> IsUsable:
    """Return a predicate for versions whose first token is in time."""

    def is_usable(version: str) -> bool:
        wait_s = wait_of(version)
        return wait_s is not None and wait_s <= limit_s

    return is_usable


def _wait_limit_s(goal: Goal, start: Start) -> float:
    """Return the longest accepted wait for the first token.

    It is shorter for a held answer, which has to complete before the deadline.
    """
    share = 1 if start.is_streamed else HELD_WAIT_SHARE
    return goal.first_token_s * share
