"""The window of repeats holds wherever it slides."""

from hypothesis import given
from hypothesis import strategies as st

from marigoldhoist.components.retries.sliding_budget import SlidingRetryBudget

RATIO = 0.5
WINDOW_S = 10.0
FLOOR = 2

steps = st.lists(
    st.tuples(st.floats(0, 3), st.booleans()), min_size=1, max_size=200
)


class TestBound:
    """Repeats against requests in every window."""

    @given(steps)
    def test_repeats_stay_within_the_ratio_and_the_floor(
        self, taken: list[tuple[float, bool]]
    ) -> None:
        window = SlidingRetryBudget(RATIO, WINDOW_S, FLOOR)
        now_s: float = 0
        requests: list[float] = []
        repeats: list[float] = []
        for pause_s, is_request in taken:
            now_s += pause_s
            if is_request:
                window.note_request(now_s)
                requests.append(now_s)
            elif window.try_take(now_s):
                repeats.append(now_s)
            since_s = now_s - WINDOW_S
            recent = [one for one in repeats if one >= since_s]
            # What a repeat was granted for lies at most a window before it.
            served = [one for one in requests if one >= since_s - WINDOW_S]
            assert len(recent) <= FLOOR + RATIO * len(served)

    def test_part_is_left_to_those_that_need_it(self) -> None:
        window = SlidingRetryBudget(1, WINDOW_S)
        for _ in range(10):
            window.note_request(0)
        spare = sum(window.try_take(0, 0.4) for _ in range(20))
        needed = sum(window.try_take(0) for _ in range(20))
        assert (spare, needed) == (6, 4)
