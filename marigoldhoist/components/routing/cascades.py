"""Choose where a request starts and whether it goes on to a dearer version.

One policy decides for one model. It is told of requests and of answers and
plans anew at an interval; a decision on a request's way looks the plan up.
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
    Mixture,
    Plan,
    Planner,
    QualityModel,
    Stage,
    Start,
    Usable,
)
from marigoldhoist.components.routing.quality_models import SampledQualityModel
from marigoldhoist.components.routing.shares import is_within_share
from marigoldhoist.components.routing.times import VersionTimes

TOKENS_PER_COST: Final = 1000
MEAN_TOKENS: Final = 150
DRAW_WIDTH: Final = 0.5
LEAST_IN_TIME: Final = 0.3
PROBE_SHARE: Final = 0.02
HELD_WAIT_SHARE: Final = 0.25

# Takes a version; returns the seconds to its first token, or none where the
# request may not use it now.
WaitOf = Callable[[str], float | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Goal:
    """What a workspace asks for: quality, and seconds to the first token."""

    quality: float
    first_token_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CascadeRequest:
    """One request, as far as the choice depends on it."""

    workspace: str
    task: str
    key: str
    goal: Goal


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A version to run, and the price on quality that led to it.

    A streamed choice goes to the caller as it comes; any other is held
    back until its doubt is known or `hold_s` seconds after the request
    came have passed.
    """

    version: str
    is_streamed: bool
    price: float
    hold_s: float


class CascadePolicy:
    """Cascades over the versions of one model, from cheap to costly."""

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
        self._usable: tuple[str, ...] = self.versions
        self._mixes: TaskMixes[Goal] = TaskMixes()
        self._mixture_by_workspace: dict[str, Mixture] = {}
        self._margins: Margins[Goal] = Margins()
        self._means: QualityModel = self._new_mean_quality_model()

    def observe(self, observations: Iterable[Observation]) -> None:
        """Learn from answers and ratings of all daemons."""
        for observation in observations:
            self.estimator.observe(observation)

    def replan(self, usable: Container[str]) -> None:
        """Fit what was learnt and plan for every workspace seen."""
        self.estimator.fit()
        self._margins.adjust()
        self._means = self._new_mean_quality_model()
        self._usable = tuple(name for name in self.versions if name in usable)
        knowledge = self.quality_model()
        self._planner_by_goal = {
            goal: self._new_planner(goal, knowledge)
            for goal in self._mixes.goals()
        }
        solved: dict[tuple[object, ...], Mixture] = {}
        for workspace, goal in self._mixes.goal_by_workspace.items():
            mix = self._mixes.of(workspace)
            problem = (goal, *mix.items())
            if problem not in solved:
                solved[problem] = self._solve(goal, mix)
            self._mixture_by_workspace[workspace] = solved[problem]

    def choose(self, ask: CascadeRequest, wait_of: WaitOf) -> Choice | None:
        """Choose the first version; none where no answer can be in time."""
        self._mixes.note(ask.workspace, ask.task, ask.goal)
        plan = self._plan(ask)
        admitted = admitted_waits(ask.key, self.share_by_version, wait_of)
        for start in plan.starts_by_task[ask.task]:
            wait_s = admitted(start.version)
            if wait_s is not None and wait_s <= _wait_limit_s(ask.goal, start):
                return self._begin(ask.goal, plan, start)
        return self._probe(ask, plan, admitted)

    def escalate(
        self,
        ask: CascadeRequest,
        price: float,
        history: History,
        elapsed_s: float,
        wait_of: WaitOf,
    ) -> Choice | None:
        """Choose the version to go on with after a doubt, if any."""
        left_s = ask.goal.first_token_s - elapsed_s
        version = self._planner(ask.goal).escalate(
            ask.task,
            history,
            price,
            usable_within(
                left_s,
                admitted_waits(ask.key, self.share_by_version, wait_of),
            ),
        )
        return self._next(ask, version, price, elapsed_s)

    def escalate_late(
        self,
        ask: CascadeRequest,
        choice: Choice,
        elapsed_s: float,
        wait_of: WaitOf,
    ) -> Choice | None:
        """Choose what to change to when a doubt comes too late, if any."""
        left_s = ask.goal.first_token_s - elapsed_s
        version = self._planner(ask.goal).escalate_late(
            ask.task,
            choice.version,
            choice.price,
            usable_within(
                left_s,
                admitted_waits(ask.key, self.share_by_version, wait_of),
            ),
        )
        if not version:
            return None
        return Choice(version, is_streamed=True, price=choice.price, hold_s=0)

    def record_delivery(self, ask: CascadeRequest, history: History) -> None:
        """Learn the doubt of a delivered answer, the last of the history."""
        good = self._means.good_probability(ask.task, history)
        self._margins.note(ask.goal, ask.goal.quality - good)

    def quality_model(self) -> QualityModel:
        """Return what is known of the versions now."""
        return SampledQualityModel(self.estimator, self.rng, DRAW_WIDTH)

    def _begin(self, goal: Goal, plan: Plan, start: Start) -> Choice:
        hold_s = self._times.hold_s(goal.first_token_s, start.version)
        return Choice(start.version, start.is_streamed, plan.price, hold_s)

    def _probe(
        self, ask: CascadeRequest, plan: Plan, wait_of: WaitOf
    ) -> Choice | None:
        """Let a few through all the same, so that the times are learnt."""
        if self.rng.random() >= PROBE_SHARE:
            return None
        for start in plan.starts_by_task[ask.task]:
            if wait_of(start.version) is not None:
                return self._begin(ask.goal, plan, start)
        return None

    def _new_mean_quality_model(self) -> QualityModel:
        return SampledQualityModel(self.estimator, self.rng, 0)

    def _next(
        self, ask: CascadeRequest, version: str, price: float, elapsed_s: float
    ) -> Choice | None:
        if not version:
            return None
        hold_s = self._times.hold_s(ask.goal.first_token_s, version)
        in_time = self.times_by_version[version].chance_within(
            hold_s - elapsed_s
        )
        is_last = version == self.versions[-1]
        is_streamed = is_last or in_time < LEAST_IN_TIME
        return Choice(version, is_streamed, price, hold_s)

    def _solve(self, goal: Goal, mix: Mapping[str, float]) -> Mixture:
        target = min(1, goal.quality + self._margins.of(goal))
        return self._planner(goal).solve(target, mix)

    def _planner(self, goal: Goal) -> Planner:
        found = self._planner_by_goal.get(goal)
        if found is None:
            found = self._new_planner(goal, self.quality_model())
            self._planner_by_goal[goal] = found
        return found

    def _plan(self, ask: CascadeRequest) -> Plan:
        mixture = self._mixture_by_workspace.get(ask.workspace)
        if mixture is None or ask.task not in mixture.lower.starts_by_task:
            mixture = self._solve(ask.goal, self._mixes.of(ask.workspace))
            self._mixture_by_workspace[ask.workspace] = mixture
        if self.rng.random() < mixture.higher_share:
            return mixture.higher
        return mixture.lower

    def _new_planner(self, goal: Goal, knowledge: QualityModel) -> Planner:
        stages = [
            Stage(
                name,
                self._cost_by_version[name] * MEAN_TOKENS / TOKENS_PER_COST,
                self._times.chance_in_time(goal.first_token_s, name),
            )
            for name in self._usable
        ]
        return Planner(knowledge, stages)


def admitted_waits(
    key: str, share_by_version: Mapping[str, float], wait_of: WaitOf
) -> WaitOf:
    """Return the waits of the versions that may take this request."""
    if not share_by_version:
        return wait_of

    def admitted(version: str) -> float | None:
        share = share_by_version.get(version, 1)
        if not is_within_share(key, version, share):
            return None
        return wait_of(version)

    return admitted


def usable_within(limit_s: float, wait_of: WaitOf) -> Usable:
    """Tell of each version whether its first token comes in time."""

    def is_usable(version: str) -> bool:
        wait_s = wait_of(version)
        return wait_s is not None and wait_s <= limit_s

    return is_usable


def _wait_limit_s(goal: Goal, start: Start) -> float:
    """Return the longest wait; a held answer must come well before."""
    share = 1 if start.is_streamed else HELD_WAIT_SHARE
    return goal.first_token_s * share
