"""How much the new version gets, and which sessions."""

import pytest

from marigoldhoist.components.canary.shares import (
    SessionMemory,
    is_moved,
    position_of,
    share_of_target,
)

PROMISED = 0.15


class TestShare:
    """The share over the time of a roll-out."""

    @pytest.mark.parametrize('progress', (0, 0.2, 0.49))
    def test_first_half_stays_well_under_the_promise(
        self, progress: float
    ) -> None:
        assert 0 < share_of_target(progress, PROMISED) < PROMISED

    def test_grows_and_ends_with_all(self) -> None:
        shares = [share_of_target(step / 20, PROMISED) for step in range(21)]
        assert shares == sorted(shares)
        assert shares[-2] == pytest.approx(1)

    def test_share_of_the_sessions_is_met(self) -> None:
        share = share_of_target(0.1, PROMISED)
        chosen = sum(
            position_of(f's{number}') < share for number in range(5000)
        )
        assert chosen / 5000 == pytest.approx(share, abs=0.02)


class TestMove:
    """Which sessions move, and when."""

    @pytest.mark.parametrize('progress', (0, 0.3, 0.48, 0.499))
    def test_session_under_way_stays_in_the_first_half(
        self, progress: float
    ) -> None:
        assert not is_moved(0, progress, PROMISED, is_under_way=True)
        assert is_moved(0, progress, PROMISED, is_under_way=False)

    def test_every_session_moves_in_the_end(self) -> None:
        assert is_moved(0.99, 0.85, PROMISED, is_under_way=True)


class TestSessions:
    """Sessions under way."""

    def test_keeps_its_version_until_the_gap_has_passed(self) -> None:
        memory = SessionMemory(5)
        memory.note('s', 'v1', 10)
        assert memory.version_of('s', 14.9) == 'v1'
        assert not memory.version_of('s', 15.1)

    def test_oldest_sessions_are_forgotten(self) -> None:
        memory = SessionMemory(5)
        for number in range(5000):
            memory.note(f's{number}', 'v1', 0)
        assert not memory.version_of('s0', 0)
        assert memory.version_of('s4999', 0) == 'v1'
