"""Plan the first versions and the escalations of a cascade.

The planner minimizes the cost at a quality target by a Lagrange multiplier,
the price on quality: it maximizes price * quality - cost. For each task a plan
ranks the versions to start with. The price is the lowest in a fixed grid at
which the expected quality over a workspace's tasks reaches the target.
"""

import bisect
import dataclasses
from collections.abc import Callable, Mapping, Sequence
from typing import Final, Protocol

from marigoldhoist.components.quality.const import BINS

# Candidate prices, in units of cost per unit of quality.
PRICES: Final = tuple(0.3 * 1.2**step for step in range(46))
# Minimum gain in utility for holding an answer instead of streaming it, above
# rounding errors.
MIN_HOLD_GAIN: Final = 1e-9

# The answers of a request so far, as pairs of version and doubt bin.
History = tuple[tuple[str, int], ...]
IsUsable = Callable[[str], bool]


class QualityModel(Protocol):
    """Probabilities of good answers and doubt bins, by task and version."""

    def quality(self, task: str, version: str, history: History) -> float:
        """Return the probability that the version's next answer is good."""

    def bin_probabilities(
        self, task: str, version: str, history: History
    ) -> Sequence[float]:
        """Return the probability of each doubt bin for its next answer."""

    def good_probability(self, task: str, history: History) -> float:
        """Return the probability that the history's last answer is good."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """A version as a cascade stage, with the cost of one of its answers.

    `in_time_probability` is the probability that the doubt score is known
    before the next stage would miss the deadline.
    """

    version: str
    cost: float
    in_time_probability: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedOutcome:
    """The expected cost and quality of a choice."""

    cost: float
    quality: float

    def utility(self, price: float) -> float:
        """Return the utility at a price on quality, in units of cost."""
        return price * self.quality - self.cost


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A version to start with.

    Its answer is streamed at once if holding it for an escalation is not
    worth it.
    """

    version: str
    outcome: ExpectedOutcome
    is_streamed: bool


Starts = tuple[Start, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Escalation:
    """A costlier version to escalate to.

    `quality` is that of its answer without any known doubt, and
    `quality_by_bin` that of its answer after each doubt bin of the first one.
    """

    cost: float
    quality: float
    quality_by_bin: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StartAnalysis:
    """The possible outcomes of starting a task with one version.

    `bin_probabilities` holds the probability of each doubt bin of the first
    answer, and `good_by_bin` the probability that it is good in that bin.
    """

    stage: Stage
    quality: float
    bin_probabilities: tuple[float, ...]
    good_by_bin: tuple[float, ...]
    escalations: tuple[Escalation, ...]

    def start(self, price: float) -> Start:
        """Return the start at a price, held back if that raises the utility."""
        streamed = ExpectedOutcome(self.stage.cost, self.quality)
        held = self._held(price)
        if held.utility(price) <= streamed.utility(price) + MIN_HOLD_GAIN:
            return Start(self.stage.version, streamed, is_streamed=True)
        return Start(self.stage.version, held, is_streamed=False)

    def _held(self, price: float) -> ExpectedOutcome:
        best_by_bin = [self._best_after(price, doubt) for doubt in range(BINS)]
        in_time = self.stage.in_time_probability
        late = self._best_late(price)
        outcomes = (*best_by_bin, late)
        weights = (
            *(in_time * probability for probability in self.bin_probabilities),
            1 - in_time,
        )
        mean = _weighted_mean(outcomes, weights)
        return ExpectedOutcome(self.stage.cost + mean.cost, mean.quality)

    def _best_after(self, price: float, doubt: int) -> ExpectedOutcome:
        best = ExpectedOutcome(0, self.good_by_bin[doubt])
        for escalation in self.escalations:
            if price * (escalation.quality_by_bin[doubt] - best.quality) > (
                escalation.cost - best.cost
            ):
                best = ExpectedOutcome(
                    escalation.cost, escalation.quality_by_bin[doubt]
                )
        return best

    def _best_late(self, price: float) -> ExpectedOutcome:
        best = ExpectedOutcome(0, self.quality)
        for escalation in self.escalations:
            if (
                price * (escalation.quality - best.quality)
                > escalation.cost - best.cost
            ):
                best = ExpectedOutcome(escalation.cost, escalation.quality)
        return best


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The starts of each task at one price on quality, best first."""

    price: float
    starts_by_task: dict[str, tuple[Start, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class Mixture:
    """Two plans whose qualities bracket the target.

    `higher_share` is the share of requests that use the higher plan.
    """

    lower: Plan
    higher: Plan
    higher_share: float


class Planner:
    """Computes plans from one quality model and one set of stages.

    A plan looks two stages ahead. A third stage is decided at the same price
    once the doubt of the second is known.
    """

    def __init__(
        self, quality_model: QualityModel, stages: Sequence[Stage]
    ) -> None:
        self._quality_model = quality_model
        self._stages = tuple(sorted(stages, key=lambda stage: stage.cost))
        self._versions = tuple(stage.version for stage in self._stages)
        self._analyses_by_task: dict[str, tuple[StartAnalysis, ...]] = {}
        self._starts_by_task_and_price: dict[tuple[str, float], Starts] = {}

    def solve(self, target: float, mix: Mapping[str, float]) -> Mixture:
        """Return the cheapest mixture whose quality reaches the target.

        If no price reaches it, the mixture uses the plan of the highest price.
        """
        rank = bisect.bisect_left(
            PRICES,
            target,
            key=lambda price: (
                expected_outcome(self.plan(price, mix), mix).quality
            ),
        )
        higher = self.plan(PRICES[min(rank, len(PRICES) - 1)], mix)
        lower = self.plan(PRICES[max(rank - 1, 0)], mix)
        below = expected_outcome(lower, mix).quality
        above = expected_outcome(higher, mix).quality
        if above <= below or above < target:
            return Mixture(lower, higher, 1)
        share = min(1, max(0, (target - below) / (above - below)))
        return Mixture(lower, higher, share)

    def plan(self, price: float, mix: Mapping[str, float]) -> Plan:
        """Return the ranked starts of every task at a price."""
        return Plan(price, {task: self._starts(task, price) for task in mix})

    def escalate(
        self, task: str, history: History, price: float, is_usable: IsUsable
    ) -> str:
        """Return the version to escalate to, empty to deliver the answer."""
        best = price * self._quality_model.good_probability(task, history)
        return self._best_escalation(task, history, price, is_usable, best)

    def escalate_late(
        self, task: str, version: str, price: float, is_usable: IsUsable
    ) -> str:
        """Return the version that replaces an answer of unknown doubt.

        It is empty if the answer should be delivered.
        """
        best = price * self._quality_model.quality(task, version, ())
        chosen = ''
        for stage in self._costlier(version):
            quality = self._quality_model.quality(task, stage.version, ())
            utility = price * quality - stage.cost
            if utility > best and is_usable(stage.version):
                best, chosen = utility, stage.version
        return chosen

    def _best_escalation(
        self,
        task: str,
        history: History,
        price: float,
        is_usable: IsUsable,
        best: float,
    ) -> str:
        chosen = ''
        for stage in self._costlier(history[-1][0]):
            quality = self._quality_model.quality(task, stage.version, history)
            utility = price * quality - stage.cost
            if utility > best and is_usable(stage.version):
                best, chosen = utility, stage.version
        return chosen

    def _starts(self, task: str, price: float) -> Starts:
        ranked = self._starts_by_task_and_price.get((task, price))
        if ranked is None:
            analyses = self._analyses(task)
            starts = [analysis.start(price) for analysis in analyses]
            starts.sort(key=lambda start: -start.outcome.utility(price))
            ranked = tuple(starts)
            self._starts_by_task_and_price[task, price] = ranked
        return ranked

    def _analyses(self, task: str) -> tuple[StartAnalysis, ...]:
        analyses = self._analyses_by_task.get(task)
        if analyses is None:
            analyses = tuple(
                self._analysis(task, stage) for stage in self._stages
            )
            self._analyses_by_task[task] = analyses
        return analyses

    def _analysis(self, task: str, stage: Stage) -> StartAnalysis:
        quality_model = self._quality_model
        costlier_stages = self._costlier(stage.version)
        histories = [((stage.version, doubt),) for doubt in range(BINS)]
        return StartAnalysis(
            stage=stage,
            quality=quality_model.quality(task, stage.version, ()),
            bin_probabilities=tuple(
                quality_model.bin_probabilities(task, stage.version, ())
            ),
            good_by_bin=tuple(
                quality_model.good_probability(task, history)
                for history in histories
            ),
            escalations=tuple(
                Escalation(
                    costlier.cost,
                    quality_model.quality(task, costlier.version, ()),
                    tuple(
                        quality_model.quality(task, costlier.version, history)
                        for history in histories
                    ),
                )
                for costlier in costlier_stages
            ),
        )

    def _costlier(self, version: str) -> tuple[Stage, ...]:
        if version not in self._versions:
            return ()
        return self._stages[self._versions.index(version) + 1 :]


def expected_outcome(plan: Plan, mix: Mapping[str, float]) -> ExpectedOutcome:
    """Return the expected outcome of the best starts of a plan."""
    outcomes = [plan.starts_by_task[task][0].outcome for task in mix]
    return _weighted_mean(outcomes, tuple(mix.values()))


def _weighted_mean(
    outcomes: Sequence[ExpectedOutcome], weights: Sequence[float]
) -> ExpectedOutcome:
    total = sum(weights)
    return ExpectedOutcome(
        sum(
            outcome.cost * weight
            for outcome, weight in zip(outcomes, weights, strict=False)
        )
        / total,
        sum(
            outcome.quality * weight
            for outcome, weight in zip(outcomes, weights, strict=False)
        )
        / total,
    )
