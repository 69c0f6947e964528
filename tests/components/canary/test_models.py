"""When a roll-out is taken to have begun."""

import pytest

from marigoldhoist.components.canary.const import LONGEST_ORDER_AGE_S
from marigoldhoist.components.canary.models import (
    RollOut,
    RollOutOrder,
    begun,
    is_told,
)

ORDER = RollOutOrder('s', 'v2', 20)


class TestTold:
    """How long daemons tell each other of sessions first."""

    @pytest.mark.parametrize(('allowed_s', 'tell_s'), ((100, 3), (8, 2)))
    def test_is_bounded_by_the_time_allowed(
        self, allowed_s: float, tell_s: float
    ) -> None:
        roll_out = RollOut(RollOutOrder('s', 'v2', allowed_s), 100)
        assert not is_told(roll_out, 100 + tell_s - 0.1)
        assert is_told(roll_out, 100 + tell_s)


class TestBegun:
    """The age of an order that is seen for the first time."""

    @pytest.mark.parametrize(
        ('unseen_s', 'age_s'),
        (
            (0, 0),
            (1.9, 0),
            (2.4, 0.4),
            (60, LONGEST_ORDER_AGE_S),
            (None, 0),
        ),
    )
    def test_is_what_exceeds_an_ordinary_gap(
        self, unseen_s: float | None, age_s: float
    ) -> None:
        assert begun(ORDER, 100, unseen_s).seen_s == pytest.approx(100 - age_s)
