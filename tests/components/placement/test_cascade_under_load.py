"""What callers get of a cascade while half of the replicas are out of reach."""

from collections.abc import Sequence

import pytest

from tests.components.placement.cascade_load import CascadeLoad, Load, Request

# As many requests as four replicas bear, at the two that are left.
HALF_LOST = Load(rate_per_s=13, replicas=2)
CALM = Load(rate_per_s=13, replicas=4)
SEEDS = (1, 2, 3, 4, 5)
# The users' rule on sizes: the largest tenth is served at least half as often.
MIN_SHARE_OF_LARGEST = 0.5


def play(load: Load, seed: int, *, sees_delay: bool = True) -> list[Request]:
    """Return the requests of a load that was played to its end."""
    return CascadeLoad(load, seed=seed, sees_delay=sees_delay).play()


def in_time(requests: Sequence[Request]) -> float:
    """Return the share of requests with a first event in time."""
    return sum(request.is_in_time for request in requests) / len(requests)


def raised(requests: Sequence[Request]) -> float:
    """Return the share of hard requests that the large model answered."""
    hard = [request for request in requests if request.is_hard]
    return sum(request.model == 'large' for request in hard) / len(hard)


@pytest.mark.parametrize('seed', SEEDS)
class TestHalfOfReplicasLost:
    """Discarding answers is load; it stops where it makes answers late."""

    def test_more_answers_begin_in_time(self, seed: int) -> None:
        unaware = play(HALF_LOST, seed, sees_delay=False)
        assert in_time(play(HALF_LOST, seed)) > in_time(unaware)

    def test_largest_tenth_is_not_starved(self, seed: int) -> None:
        requests = play(HALF_LOST, seed)
        by_size = sorted(requests, key=lambda request: request.tokens)
        largest = by_size[-len(by_size) // 10 :]
        assert in_time(largest) > MIN_SHARE_OF_LARGEST * in_time(requests)

    def test_hard_requests_still_get_the_large_model(self, seed: int) -> None:
        assert raised(play(HALF_LOST, seed)) > 0


@pytest.mark.parametrize('seed', SEEDS)
class TestAllReplicasInReach:
    """At the load that replicas are sized for, hardly an answer changes."""

    def test_no_fewer_answers_begin_in_time(self, seed: int) -> None:
        unaware = play(CALM, seed, sees_delay=False)
        assert in_time(play(CALM, seed)) >= in_time(unaware)
