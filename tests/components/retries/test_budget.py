"""Retries stay within their budget, also in an outage."""

from hypothesis import given, strategies

from marigoldhoist.components.retries.budget import RetryBudget
from marigoldhoist.components.retries.const import (
    FLOOR_PER_S,
    MAX_SAVED_RETRIES,
    MIN_HEDGE_SAMPLES,
    RETRY_SHARE,
    WINDOW_S,
)
from marigoldhoist.components.retries.delays import FirstTokenDelays

REQUESTS = 5000
ROUNDING = 1e-6
ARRIVALS = strategies.lists(
    strategies.tuples(strategies.floats(0, 30), strategies.integers(0, 5)),
    max_size=300,
)


class TestRetryBudget:
    """The bound of the budget holds over any arrivals and failures."""

    @given(ARRIVALS)
    def test_never_above_the_bound(
        self, arrivals: list[tuple[float, int]]
    ) -> None:
        budget = RetryBudget(0)
        now_s: float = 0
        taken = 0
        for count, (pause_s, tries) in enumerate(arrivals, start=1):
            now_s += pause_s
            budget.deposit()
            taken += sum(budget.try_take(now_s) for _ in range(tries))
            bound = count * RETRY_SHARE + now_s * FLOOR_PER_S
            assert taken <= bound + MAX_SAVED_RETRIES + ROUNDING

    def test_outage_does_not_amplify(self) -> None:
        budget = RetryBudget(0)
        sent = 0
        for _ in range(REQUESTS):
            budget.deposit()
            sent += 1 + budget.try_take(0) + budget.try_take(0)
        assert sent <= REQUESTS * (1 + RETRY_SHARE) + MAX_SAVED_RETRIES

    def test_rare_requests_may_retry(self) -> None:
        budget = RetryBudget(0)
        taken = sum(budget.try_take(0) for _ in range(REQUESTS))
        assert taken == MAX_SAVED_RETRIES
        assert budget.try_take(1 / FLOOR_PER_S)
        assert not budget.try_take(1 / FLOOR_PER_S)


class TestFirstTokenDelays:
    """A hedge waits for the p95 of what is usual."""

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
        slow = delays.hedge_delay_s()
        for _ in range(100):
            delays.record(1, now_s=WINDOW_S + 1)
        delays.record(1, now_s=WINDOW_S * 3)
        usual = delays.hedge_delay_s()
        assert slow is not None
        assert usual is not None
        assert round(slow) == 2
        assert round(usual) == 1
