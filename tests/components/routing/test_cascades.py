"""Test that cascades reach the quality target at minimum cost.

Choices also have to respect deadlines, usable versions and roll-out shares.
"""

import random

from marigoldhoist.components.quality.distribution import beta_bin_probabilities
from marigoldhoist.components.routing.cascades import (
    CascadePolicy,
    CascadeRequest,
    Goal,
)
from marigoldhoist.components.routing.plans import (
    ExpectedOutcome,
    Planner,
    Stage,
    expected_outcome,
)
from marigoldhoist.components.routing.quality_models import ExactQualityModel
from marigoldhoist.components.routing.shares import is_within_share

TASK_MIX = {'tags': 0.6, 'quotes': 0.4}
QUALITY_MODEL = ExactQualityModel(
    {'tags': 0.95, 'quotes': 0.6},
    {'small': (0.8, 0.45), 'medium': (0.91, 0.7), 'large': (0.97, 0.92)},
    beta_bin_probabilities(2, 5),
    beta_bin_probabilities(4, 3),
)
COSTS = {'small': 0.15, 'medium': 0.6, 'large': 3}
TOLERANCE = 0.003
NEAR_BEST_QUALITY = 0.95
GOAL = Goal(0.88, 4)


def planner(in_time_probability: float) -> Planner:
    """Return a planner whose stages end in time with a probability."""
    stages = [
        Stage(name, cost, in_time_probability) for name, cost in COSTS.items()
    ]
    return Planner(QUALITY_MODEL, stages)


def solved_outcome(
    in_time_probability: float, target: float
) -> ExpectedOutcome:
    """Return the expected cost and quality of the solved mixture."""
    mixture = planner(in_time_probability).solve(target, TASK_MIX)
    lower = expected_outcome(mixture.lower, TASK_MIX)
    higher = expected_outcome(mixture.higher, TASK_MIX)
    share = mixture.higher_share
    return ExpectedOutcome(
        lower.cost + share * (higher.cost - lower.cost),
        lower.quality + share * (higher.quality - lower.quality),
    )


def cascade_request(number: int) -> CascadeRequest:
    """Return a request with a unique key."""
    return CascadeRequest('bench', 'tags', f'request-{number}', GOAL)


class TestPlanner:
    """Test that solved plans reach the target at the lowest price."""

    def test_meets_the_target_without_exceeding_it(self) -> None:
        for target in (0.82, 0.88, 0.92):
            assert abs(solved_outcome(0.9, target).quality - target) < TOLERANCE

    def test_a_cascade_is_cheaper_than_any_single_version(self) -> None:
        assert (
            solved_outcome(0.9, 0.88).cost < 0.5 * solved_outcome(0, 0.88).cost
        )

    def test_unreachable_target_gives_the_best_quality(self) -> None:
        assert solved_outcome(0.9, 0.999).quality > NEAR_BEST_QUALITY

    def test_escalates_only_to_usable_versions(self) -> None:
        history = (('small', 9),)
        found = planner(0.9).escalate('quotes', history, 100, lambda _: True)
        none = planner(0.9).escalate('quotes', history, 100, lambda _: False)
        assert found
        assert not none


class TestCascadePolicy:
    """Test that the policy respects waits, deadlines and shares."""

    def test_refuses_requests_that_cannot_be_in_time(self) -> None:
        policy = CascadePolicy(COSTS, random.Random(1))
        choices = [
            policy.choose(cascade_request(number), lambda _: 9.0)
            for number in range(500)
        ]
        chosen = [choice for choice in choices if choice is not None]
        assert len(chosen) < 50

    def test_unusable_version_is_never_chosen(self) -> None:
        policy = CascadePolicy(COSTS, random.Random(1))
        waits = {'medium': 0.1, 'large': 0.1}
        choices = [
            policy.choose(cascade_request(number), waits.get)
            for number in range(300)
        ]
        chosen = {choice.version for choice in choices if choice is not None}
        assert chosen
        assert 'small' not in chosen

    def test_new_version_stays_within_its_share(self) -> None:
        policy = CascadePolicy(COSTS, random.Random(1))
        policy.share_by_version = {'small': 0.1}
        choices = [
            policy.choose(cascade_request(number), lambda _: 0.1)
            for number in range(2000)
        ]
        admitted = [
            number
            for number, choice in enumerate(choices)
            if choice is not None and choice.version == 'small'
        ]
        assert len(admitted) <= 260
        assert all(
            is_within_share(cascade_request(number).key, 'small', 0.1)
            for number in admitted
        )

    def test_no_escalation_that_would_miss_the_deadline(self) -> None:
        policy = CascadePolicy(COSTS, random.Random(1))
        history = (('small', 9),)
        late = policy.escalate(
            cascade_request(1), 100, history, 3.95, lambda _: 0.1
        )
        early = policy.escalate(
            cascade_request(1), 100, history, 1, lambda _: 0.1
        )
        assert late is None
        assert early is not None
