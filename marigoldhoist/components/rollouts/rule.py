"""The rule that advances, stops or reverts a roll-out."""

import dataclasses

import msgspec

from marigoldhoist.components.rollouts.const import MAX_DWELLS_WITHOUT_ANSWERS
from marigoldhoist.components.table.models import RollOut, RollOutState


@dataclasses.dataclass(frozen=True, slots=True)
class RuleInput:
    """Input of the rule for one roll-out.

    `answers` is the number of the version's answers in the current step, since
    this daemon began to count them. `takes_work` is true if the table lets
    the version get requests.
    """

    now_ms: int
    answers: int
    takes_work: bool


def next_roll_out(roll_out: RollOut, rule_input: RuleInput) -> RollOut | None:
    """Return the updated roll-out, or None if it does not change.

    The next step begins after the dwell time, once the version has enough
    answers.
    """
    if roll_out.state is not RollOutState.RUNNING:
        return None
    if not rule_input.takes_work:
        return _with_state(roll_out, rule_input, RollOutState.REVERTED)
    if not roll_out.since_ms:
        return _with_state(roll_out, rule_input, RollOutState.RUNNING)
    elapsed_ms = rule_input.now_ms - roll_out.since_ms
    if elapsed_ms < roll_out.dwell_ms:
        return None
    if rule_input.answers >= roll_out.least_answers:
        return _with_next_step(roll_out, rule_input)
    if elapsed_ms >= MAX_DWELLS_WITHOUT_ANSWERS * roll_out.dwell_ms:
        return _with_state(roll_out, rule_input, RollOutState.STOPPED)
    return None


def _with_next_step(roll_out: RollOut, rule_input: RuleInput) -> RollOut:
    if roll_out.step + 1 == len(roll_out.steps):
        return _with_state(roll_out, rule_input, RollOutState.DONE)
    advanced = msgspec.structs.replace(roll_out, step=roll_out.step + 1)
    return _with_state(advanced, rule_input, RollOutState.RUNNING)


def _with_state(
    roll_out: RollOut, rule_input: RuleInput, state: RollOutState
) -> RollOut:
    """Return the roll-out in the given state, with its dwell time restarted."""
    return msgspec.structs.replace(
        roll_out, state=state, since_ms=rule_input.now_ms
    )
