"""A roll-out goes on, stops or is reverted by rule."""

import msgspec
import pytest

from marigoldhoist.components.rollouts.rule import Evidence, next_roll_out
from marigoldhoist.components.routing.versions import within_roll_out
from marigoldhoist.components.table.models import (
    ModelRow,
    RollOut,
    RollOutState,
)

DWELL_MS = 1000
RUNNING = RollOut(
    'next', (5, 50), dwell_ms=DWELL_MS, least_answers=10, since_ms=1
)


def moved(
    roll_out: RollOut, now_ms: int, answers: int, takes_work: bool = True
) -> RollOut:
    """Return the roll-out after the rule was asked."""
    evidence = Evidence(now_ms, answers, takes_work)
    return next_roll_out(roll_out, evidence) or roll_out


class TestRule:
    """Both time and answers are needed for a step."""

    def test_waits_for_time_and_for_answers(self) -> None:
        assert moved(RUNNING, DWELL_MS - 1, 99) is RUNNING
        assert moved(RUNNING, DWELL_MS + 1, 9) is RUNNING

    def test_goes_through_its_steps_to_the_end(self) -> None:
        second = moved(RUNNING, DWELL_MS + 1, 10)
        assert (second.step, second.state) == (1, RollOutState.RUNNING)
        assert moved(second, DWELL_MS + 2, 10) is second
        last = moved(second, 3 * DWELL_MS, 10)
        assert last.state is RollOutState.DONE
        assert last.share == 1

    def test_held_version_is_reverted(self) -> None:
        reverted = moved(RUNNING, 2, 0, takes_work=False)
        assert reverted.state is RollOutState.REVERTED
        assert not reverted.share

    def test_lack_of_answers_stops_it(self) -> None:
        stopped = moved(RUNNING, 11 * DWELL_MS, 9)
        assert stopped.state is RollOutState.STOPPED
        assert stopped.share == RUNNING.share
        assert moved(stopped, 99 * DWELL_MS, 99) is stopped

    def test_resumed_one_dwells_anew(self) -> None:
        resumed = msgspec.structs.replace(RUNNING, since_ms=0)
        begun = moved(resumed, 9 * DWELL_MS, 99)
        assert (begun.step, begun.since_ms) == (0, 9 * DWELL_MS)


class TestShare:
    """A version takes traffic up to its share and keeps who it had."""

    @pytest.mark.parametrize(('step', 'most'), [(0, 80), (1, 560)])
    def test_share_caps_the_requests(self, step: int, most: int) -> None:
        taken = taken_at(step)
        assert len(taken) < most
        assert taken_at(0) <= taken

    def test_reverted_version_takes_none(self) -> None:
        reverted = msgspec.structs.replace(RUNNING, state=RollOutState.REVERTED)
        row = ModelRow({'old': 1, 'next': 99}, roll_out=reverted)
        weights = within_roll_out(row, row.weights_by_version, 'any')
        assert weights == {'old': 1}


def taken_at(step: int) -> set[int]:
    """Return which of a thousand requests the version may take."""
    roll_out = msgspec.structs.replace(RUNNING, step=step)
    row = ModelRow({'old': 1, 'next': 99}, roll_out=roll_out)
    return {
        number
        for number in range(1000)
        if 'next' in within_roll_out(row, row.weights_by_version, str(number))
    }
