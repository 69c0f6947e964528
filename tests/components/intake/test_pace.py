"""The least rate at which input has to come."""

from hypothesis import given
from hypothesis import strategies as st

from marigoldhoist.components.intake.pace import InputPace

RATE = 1000


class TestInputPace:
    """Input is behind by the time in which nothing would have had to come."""

    def test_input_at_the_least_rate_is_never_behind(self) -> None:
        pace = InputPace(RATE, 0)
        for second in range(1, 100):
            pace.note(RATE, second)
            assert pace.behind_s(second) == 0

    def test_input_that_came_fast_gains_no_credit(self) -> None:
        pace = InputPace(RATE, 0)
        pace.note(100 * RATE, 1)
        assert pace.behind_s(4) == 3
        assert pace.due_s(2) == 3

    @given(st.lists(st.integers(1, 10), max_size=50))
    def test_a_byte_now_and_then_stays_behind(
        self, pauses_s: list[int]
    ) -> None:
        pace = InputPace(RATE, 0)
        now_s = 0
        for pause_s in pauses_s:
            now_s += pause_s
            pace.note(1, now_s)
        expected_s = now_s - len(pauses_s) / RATE
        assert abs(pace.behind_s(now_s) - expected_s) < 1e-6
