"""Tests of a roll-out's estimated start and session exchange."""

import pytest

from marigoldhoist.components.canary.const import MAX_ORDER_AGE_S
from marigoldhoist.components.canary.models import (
    RollOut,
    RollOutOrder,
    is_session_exchange_over,
    new_roll_out,
)

ORDER = RollOutOrder('s', 'v2', 20)


class TestSessionExchange:
    """Duration of the exchange of active sessions."""

    @pytest.mark.parametrize(('allowed_s', 'exchange_s'), ((100, 3), (8, 2)))
    def test_is_limited_by_the_allowed_time(
        self, allowed_s: float, exchange_s: float
    ) -> None:
        roll_out = RollOut(RollOutOrder('s', 'v2', allowed_s), 100)
        assert not is_session_exchange_over(roll_out, 100 + exchange_s - 0.1)
        assert is_session_exchange_over(roll_out, 100 + exchange_s)


class TestNewRollOut:
    """Estimated age of an order when it is first read."""

    @pytest.mark.parametrize(
        ('unseen_s', 'age_s'),
        (
            (0, 0),
            (1.9, 0),
            (2.4, 0.4),
            (60, MAX_ORDER_AGE_S),
            (None, 0),
        ),
    )
    def test_age_is_excess_over_normal_read_gap(
        self, unseen_s: float | None, age_s: float
    ) -> None:
        assert new_roll_out(ORDER, 100, unseen_s).ordered_s == pytest.approx(
            100 - age_s
        )
