"""Tests of the roll-out rule and of a roll-out's traffic share."""

import msgspec
import pytest

from marigoldhoist.components.rollouts.rule import RuleInput, next_roll_out
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


def apply_rule(
    roll_out: RollOut, now_ms: int, answers: int, takes_work: bool = True
) -> RollOut:
    """Return the roll-out after the rule was applied."""
    rule_input = RuleInput(now_ms, answers, takes_work)
    return next_roll_out(roll_out, rule_input) or roll_out


class TestRule:
    """A step needs both its dwell time and enough answers."""

    def test_waits_for_time_and_for_answers(self) -> None:
        assert apply_rule(RUNNING, DWELL_MS - 1, 99) is RUNNING
        assert apply_rule(RUNNING, DWELL_MS + 1, 9) is RUNNING

    def test_advances_through_all_steps(self) -> None:
        second = apply_rule(RUNNING, DWELL_MS + 1, 10)
        assert (second.step, second.state) == (1, RollOutState.RUNNING)
        assert apply_rule(second, DWELL_MS + 2, 10) is second
        last = apply_rule(second, 3 * DWELL_MS, 10)
        assert last.state is RollOutState.DONE
        assert last.share == 1

    def test_held_version_is_reverted(self) -> None:
        reverted = apply_rule(RUNNING, 2, 0, takes_work=False)
        assert reverted.state is RollOutState.REVERTED
        assert not reverted.share

    def test_stops_with_too_few_answers(self) -> None:
        stopped = apply_rule(RUNNING, 11 * DWELL_MS, 9)
        assert stopped.state is RollOutState.STOPPED
        assert stopped.share == RUNNING.share
        assert apply_rule(stopped, 99 * DWELL_MS, 99) is stopped

    def test_resumed_roll_out_restarts_its_dwell_time(self) -> None:
        resumed = msgspec.structs.replace(RUNNING, since_ms=0)
        restarted = apply_rule(resumed, 9 * DWELL_MS, 99)
        assert (restarted.step, restarted.since_ms) == (0, 9 * DWELL_MS)


class TestShare:
    """A larger share adds requests and keeps those of the smaller share."""

    @pytest.mark.parametrize(('step', 'limit'), [(0, 80), (1, 560)])
    def test_share_limits_the_requests(self, step: int, limit: int) -> None:
        requests = requests_at(step)
        assert len(requests) < limit
        assert requests_at(0) <= requests

    def test_reverted_version_gets_no_requests(self) -> None:
        reverted = msgspec.structs.replace(RUNNING, state=RollOutState.REVERTED)
        row = ModelRow({'old': 1, 'next': 99}, roll_out=reverted)
        weights = within_roll_out(row, row.weights_by_version, 'any')
        assert weights == {'old': 1}


def requests_at(step: int) -> set[int]:
    """Return the numbers of a thousand requests that may get the version."""
    roll_out = msgspec.structs.replace(RUNNING, step=step)
    row = ModelRow({'old': 1, 'next': 99}, roll_out=roll_out)
    return {
        number
        for number in range(1000)
        if 'next' in within_roll_out(row, row.weights_by_version, str(number))
    }
