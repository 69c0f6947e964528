"""Tests of the retry budget and of the hedge delay."""

from hypothesis import given, strategies

from marigoldhoist.components.retries.budget import RetryBudget
from marigoldhoist.components.retries.const import (
    MAX_SAVED_RETRIES,
    MIN_HEDGE_SAMPLES,
    MIN_RETRIES_PER_S,
    RETRIES_PER_REQUEST,
    WINDOW_S,
)
from marigoldhoist.components.retries.delays import FirstTokenDelays

REQUESTS = 5000
ROUNDING_ERROR = 1e-6
# For each request: the pause before it, in seconds, and the retries tried.
ARRIVALS = strategies.lists(
    strategies.tuples(strategies.floats(0, 30), strategies.integers(0, 5)),
    max_size=300,
)


class TestRetryBudget:
    """Retries stay within the budget for any arrivals and attempts."""

    @given(ARRIVALS)
    def test_retries_never_exceed_the_bound(
        self, arrivals: list[tuple[float, int]]
    ) -> None:
        budget = RetryBudget(0)
        now_s: float = 0
        taken = 0
        for count, (pause_s, attempts) in enumerate(arrivals, start=1):
            now_s += pause_s
            budget.deposit()
            taken += sum(budget.try_take(now_s) for _ in range(attempts))
            bound = count * RETRIES_PER_REQUEST + now_s * MIN_RETRIES_PER_S
            assert taken <= bound + MAX_SAVED_RETRIES + ROUNDING_ERROR

    def test_outage_does_not_amplify_load(self) -> None:
        budget = RetryBudget(0)
        sent = 0
        for _ in range(REQUESTS):
            budget.deposit()
            sent += 1 + budget.try_take(0) + budget.try_take(0)
        assert sent <= REQUESTS * (1 + RETRIES_PER_REQUEST) + MAX_SAVED_RETRIES

    def test_rare_requests_can_be_retried(self) -> None:
        budget = RetryBudget(0)
        taken = sum(budget.try_take(0) for _ in range(REQUESTS))
        assert taken == MAX_SAVED_RETRIES
        assert budget.try_take(1 / MIN_RETRIES_PER_S)
        assert not budget.try_take(1 / MIN_RETRIES_PER_S)


class TestFirstTokenDelays:
    """The hedge delay is the p95 of recent first token delays."""

    def test_unknown_until_enough_samples(self) -> None:
        delays = FirstTokenDelays(0)
        for _ in range(MIN_HEDGE_SAMPLES - 1):
            delays.record(1, now_s=0)
        assert delays.hedge_delay_s() is None
        delays.record(1, now_s=0)
        assert delays.hedge_delay_s() is not None

    def test_p95_of_the_last_window(self) -> None:
        delays = FirstTokenDelays(0)
        for number in range(100):
            delays.record(2 if number % 10 == 9 else 1, now_s=0)
        delays.record(1, now_s=WINDOW_S + 1)
        slow_s = delays.hedge_delay_s()
        for _ in range(100):
            delays.record(1, now_s=WINDOW_S + 1)
        delays.record(1, now_s=WINDOW_S * 3)
        usual_s = delays.hedge_delay_s()
        assert slow_s is not None
        assert usual_s is not None
        assert round(slow_s) == 2
        assert round(usual_s) == 1
