"""Plan where a cascade starts and when it goes on.

A price on quality turns cost at a quality target into one figure. For each
task the plan ranks the versions to start with; the price is the lowest at
which the expected quality over a workspace's tasks reaches the target.
"""

import bisect
import dataclasses
from collections.abc import Callable, Mapping, Sequence
from typing import Final, Protocol

from marigoldhoist.components.quality.const import BINS

PRICES: Final = tuple(0.3 * 1.2**step for step in range(46))
LEAST_GAIN: Final = 1e-9

History = tuple[tuple[str, int], ...]
Usable = Callable[[str], bool]


class QualityModel(Protocol):
    """What is known of a task's answers, or learnt."""

    def quality(self, task: str, version: str, history: History) -> float:
        """Return the chance that the version's next answer is good."""

    def bin_probabilities(
        self, task: str, version: str, history: History
    ) -> Sequence[float]:
        """Return the chances of the doubt bins of its next answer."""

    def good_probability(self, task: str, history: History) -> float:
        """Return the chance that the last answer is good."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """A version as a stage: the cost of an answer, and its time.

    `in_time` is the chance that its doubt is known before the next stage
    would miss the deadline.
    """

    version: str
    cost: float
    in_time: float


@dataclasses.dataclass(frozen=True, slots=True)
class Worth:
    """Expected cost and quality of a choice."""

    cost: float
    quality: float

    def at(self, price: float) -> float:
        """Return the worth at a price on quality."""
        return price * self.quality - self.cost


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A version to start with; streamed at once where nothing may follow."""

    version: str
    worth: Worth
    is_streamed: bool


Starts = tuple[Start, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Other:
    """A dearer version: its quality alone, and after each doubt."""

    cost: float
    quality: float
    after: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What a task's first version may lead to, by doubt bin."""

    stage: Stage
    quality: float
    chances: tuple[float, ...]
    good: tuple[float, ...]
    others: tuple[Other, ...]

    def start(self, price: float) -> Start:
        """Return the start at a price, held back where that is worth it."""
        plain = Worth(self.stage.cost, self.quality)
        held = self._held(price)
        if held.at(price) <= plain.at(price) + LEAST_GAIN:
            return Start(self.stage.version, plain, is_streamed=True)
        return Start(self.stage.version, held, is_streamed=False)

    def _held(self, price: float) -> Worth:
        seen = [self._best(price, doubt) for doubt in range(BINS)]
        in_time = self.stage.in_time
        late = self._late(price)
        worths = (*seen, late)
        weights = (*(in_time * chance for chance in self.chances), 1 - in_time)
        mean = _mean(worths, weights)
        return Worth(self.stage.cost + mean.cost, mean.quality)

    def _best(self, price: float, doubt: int) -> Worth:
        best = Worth(0, self.good[doubt])
        for other in self.others:
            if price * (other.after[doubt] - best.quality) > (
                other.cost - best.cost
            ):
                best = Worth(other.cost, other.after[doubt])
        return best

    def _late(self, price: float) -> Worth:
        best = Worth(0, self.quality)
        for other in self.others:
            if price * (other.quality - best.quality) > other.cost - best.cost:
                best = Worth(other.cost, other.quality)
        return best


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Starts by task, best first, at one price on quality."""

    price: float
    starts_by_task: dict[str, tuple[Start, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class Mixture:
    """Two plans around the target, and how often to take the higher."""

    lower: Plan
    higher: Plan
    higher_share: float


class Planner:
    """Plans with one state of knowledge and one set of stages.

    A plan looks two stages ahead; a third follows by the same price.
    """

    def __init__(
        self, knowledge: QualityModel, stages: Sequence[Stage]
    ) -> None:
        self._knowledge = knowledge
        self._stages = tuple(sorted(stages, key=lambda stage: stage.cost))
        self._names = tuple(stage.version for stage in self._stages)
        self._outlooks_by_task: dict[str, tuple[Outlook, ...]] = {}
        self._starts_by_problem: dict[tuple[str, float], Starts] = {}

    def solve(self, target: float, mix: Mapping[str, float]) -> Mixture:
        """Return the cheapest plans whose quality reaches the target."""
        rank = bisect.bisect_left(
            PRICES,
            target,
            key=lambda price: expected(self.plan(price, mix), mix).quality,
        )
        higher = self.plan(PRICES[min(rank, len(PRICES) - 1)], mix)
        lower = self.plan(PRICES[max(rank - 1, 0)], mix)
        below = expected(lower, mix).quality
        above = expected(higher, mix).quality
        if above <= below or above < target:
            return Mixture(lower, higher, 1)
        share = min(1, max(0, (target - below) / (above - below)))
        return Mixture(lower, higher, share)

    def plan(self, price: float, mix: Mapping[str, float]) -> Plan:
        """Rank the starts of every task at a price."""
        return Plan(price, {task: self._starts(task, price) for task in mix})

    def escalate(
        self, task: str, history: History, price: float, usable: Usable
    ) -> str:
        """Return the usable version to go on with, or empty to deliver."""
        best = price * self._knowledge.good_probability(task, history)
        return self._best_above(task, history, price, usable, best)

    def escalate_late(
        self, task: str, version: str, price: float, usable: Usable
    ) -> str:
        """Return what to change to when doubt comes too late, or empty."""
        best = price * self._knowledge.quality(task, version, ())
        found = ''
        for stage in self._above(version):
            quality = self._knowledge.quality(task, stage.version, ())
            worth = price * quality - stage.cost
            if worth > best and usable(stage.version):
                best, found = worth, stage.version
        return found

    def _best_above(
        self,
        task: str,
        history: History,
        price: float,
        usable: Usable,
        best: float,
    ) -> str:
        found = ''
        for stage in self._above(history[-1][0]):
            quality = self._knowledge.quality(task, stage.version, history)
            worth = price * quality - stage.cost
            if worth > best and usable(stage.version):
                best, found = worth, stage.version
        return found

    def _starts(self, task: str, price: float) -> Starts:
        found = self._starts_by_problem.get((task, price))
        if found is None:
            outlooks = self._outlooks(task)
            starts = [outlook.start(price) for outlook in outlooks]
            starts.sort(key=lambda start: -start.worth.at(price))
            found = tuple(starts)
            self._starts_by_problem[task, price] = found
        return found

    def _outlooks(self, task: str) -> tuple[Outlook, ...]:
        found = self._outlooks_by_task.get(task)
        if found is None:
            found = tuple(self._outlook(task, stage) for stage in self._stages)
            self._outlooks_by_task[task] = found
        return found

    def _outlook(self, task: str, stage: Stage) -> Outlook:
        knowledge = self._knowledge
        above = self._above(stage.version)
        histories = [((stage.version, doubt),) for doubt in range(BINS)]
        return Outlook(
            stage=stage,
            quality=knowledge.quality(task, stage.version, ()),
            chances=tuple(knowledge.bin_probabilities(task, stage.version, ())),
            good=tuple(
                knowledge.good_probability(task, history)
                for history in histories
            ),
            others=tuple(
                Other(
                    other.cost,
                    knowledge.quality(task, other.version, ()),
                    tuple(
                        knowledge.quality(task, other.version, history)
                        for history in histories
                    ),
                )
                for other in above
            ),
        )

    def _above(self, version: str) -> tuple[Stage, ...]:
        if version not in self._names:
            return ()
        return self._stages[self._names.index(version) + 1 :]


def expected(plan: Plan, mix: Mapping[str, float]) -> Worth:
    """Return the expected cost and quality of a plan's first choices."""
    worths = [plan.starts_by_task[task][0].worth for task in mix]
    return _mean(worths, tuple(mix.values()))


def _mean(worths: Sequence[Worth], weights: Sequence[float]) -> Worth:
    total = sum(weights)
    return Worth(
        sum(
            one.cost * weight
            for one, weight in zip(worths, weights, strict=False)
        )
        / total,
        sum(
            one.quality * weight
            for one, weight in zip(worths, weights, strict=False)
        )
        / total,
    )
