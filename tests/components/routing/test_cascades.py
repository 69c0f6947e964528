"""Plans reach the quality target at least cost, within time and share."""

import random

from marigoldhoist.components.quality.distribution import beta_bin_probabilities
from marigoldhoist.components.routing.cascades import (
    CascadePolicy,
    CascadeRequest,
    Goal,
)
from marigoldhoist.components.routing.plans import (
    Planner,
    Stage,
    Worth,
    expected,
)
from marigoldhoist.components.routing.quality_models import ExactQualityModel
from marigoldhoist.components.routing.shares import is_within_share

MIX = {'tags': 0.6, 'quotes': 0.4}
KNOWN = ExactQualityModel(
    {'tags': 0.95, 'quotes': 0.6},
    {'small': (0.8, 0.45), 'medium': (0.91, 0.7), 'large': (0.97, 0.92)},
    beta_bin_probabilities(2, 5),
    beta_bin_probabilities(4, 3),
)
COSTS = {'small': 0.15, 'medium': 0.6, 'large': 3}
TOLERANCE = 0.003
HIGH = 0.95
GOAL = Goal(0.88, 4)


def planner(in_time: float) -> Planner:
    """Return a planner whose stages end in time with this chance."""
    stages = [Stage(name, cost, in_time) for name, cost in COSTS.items()]
    return Planner(KNOWN, stages)


def mean(in_time: float, target: float) -> Worth:
    """Return what the solved mixture costs and how good it is."""
    mixture = planner(in_time).solve(target, MIX)
    low = expected(mixture.lower, MIX)
    high = expected(mixture.higher, MIX)
    share = mixture.higher_share
    return Worth(
        low.cost + share * (high.cost - low.cost),
        low.quality + share * (high.quality - low.quality),
    )


def ask(number: int) -> CascadeRequest:
    """Return a request."""
    return CascadeRequest('bench', 'tags', f'request-{number}', GOAL)


class TestPlanner:
    """The price on quality is the lowest that reaches the target."""

    def test_reaches_the_target_and_no_more(self) -> None:
        for target in (0.82, 0.88, 0.92):
            assert abs(mean(0.9, target).quality - target) < TOLERANCE

    def test_a_cascade_is_cheaper_than_any_single_version(self) -> None:
        assert mean(0.9, 0.88).cost < 0.5 * mean(0, 0.88).cost

    def test_unreachable_target_gives_the_best_there_is(self) -> None:
        assert mean(0.9, 0.999).quality > HIGH

    def test_follows_only_usable_versions(self) -> None:
        history = (('small', 9),)
        found = planner(0.9).escalate('quotes', history, 100, lambda _: True)
        none = planner(0.9).escalate('quotes', history, 100, lambda _: False)
        assert found
        assert not none


class TestCascadePolicy:
    """The policy keeps to waits, deadlines and shares."""

    def test_refuses_what_cannot_be_in_time(self) -> None:
        policy = CascadePolicy(COSTS, random.Random(1))
        choices = [policy.choose(ask(one), lambda _: 9.0) for one in range(500)]
        chosen = [choice for choice in choices if choice is not None]
        assert len(chosen) < 50

    def test_unusable_version_is_never_chosen(self) -> None:
        policy = CascadePolicy(COSTS, random.Random(1))
        waits = {'medium': 0.1, 'large': 0.1}
        choices = [policy.choose(ask(one), waits.get) for one in range(300)]
        chosen = {choice.version for choice in choices if choice is not None}
        assert chosen
        assert 'small' not in chosen

    def test_new_version_stays_within_its_share(self) -> None:
        policy = CascadePolicy(COSTS, random.Random(1))
        policy.share_by_version = {'small': 0.1}
        choices = [
            policy.choose(ask(one), lambda _: 0.1) for one in range(2000)
        ]
        taken = [
            number
            for number, choice in enumerate(choices)
            if choice is not None and choice.version == 'small'
        ]
        assert len(taken) <= 260
        assert all(
            is_within_share(ask(number).key, 'small', 0.1) for number in taken
        )

    def test_no_escalation_once_the_time_is_over(self) -> None:
        policy = CascadePolicy(COSTS, random.Random(1))
        history = (('small', 9),)
        late = policy.escalate(ask(1), 100, history, 3.95, lambda _: 0.1)
        early = policy.escalate(ask(1), 100, history, 1, lambda _: 0.1)
        assert late is None
        assert early is not None
