"""Tests of the retry budget in a sliding window."""

from hypothesis import given
from hypothesis import strategies as st

from marigoldhoist.components.retries.sliding_budget import SlidingRetryBudget

RATIO = 0.5
WINDOW_S = 10.0
FLOOR = 2

# Each step: a pause in seconds, and whether a request or a retry follows it.
steps = st.lists(
    st.tuples(st.floats(0, 3), st.booleans()), min_size=1, max_size=200
)


class TestBound:
    """Retries stay within the budget in every window."""

    @given(steps)
    def test_retries_stay_within_the_ratio_and_the_floor(
        self, schedule: list[tuple[float, bool]]
    ) -> None:
        budget = SlidingRetryBudget(RATIO, WINDOW_S, FLOOR)
        now_s: float = 0
        requests: list[float] = []
        retries: list[float] = []
        for pause_s, is_request in schedule:
            now_s += pause_s
            if is_request:
                budget.note_request(now_s)
                requests.append(now_s)
            elif budget.try_take(now_s):
                retries.append(now_s)
            window_start_s = now_s - WINDOW_S
            recent = [time_s for time_s in retries if time_s >= window_start_s]
            # A retry is permitted by requests at most one window before it.
            served = [
                time_s
                for time_s in requests
                if time_s >= window_start_s - WINDOW_S
            ]
            assert len(recent) <= FLOOR + RATIO * len(served)

    def test_reserved_share_remains_for_other_retries(self) -> None:
        budget = SlidingRetryBudget(1, WINDOW_S)
        for _ in range(10):
            budget.note_request(0)
        optional = sum(budget.try_take(0, 0.4) for _ in range(20))
        required = sum(budget.try_take(0) for _ in range(20))
        assert (optional, required) == (6, 4)
