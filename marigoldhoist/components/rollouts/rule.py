"""The rule by which a roll-out goes on, stops or is reverted."""

import dataclasses

import msgspec

from marigoldhoist.components.rollouts.const import STALLED_DWELLS
from marigoldhoist.components.table.models import RollOut, RollOutState


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What is known when the rule is asked.

    The answers are those of the version since the present step began, as
    far as this daemon has watched it.
    """

    now_ms: int
    answers: int
    takes_work: bool


def next_roll_out(roll_out: RollOut, evidence: Evidence) -> RollOut | None:
    """Return the roll-out as it should be, none where it stays as it is."""
    if roll_out.state is not RollOutState.RUNNING:
        return None
    if not evidence.takes_work:
        return _moved(roll_out, evidence, RollOutState.REVERTED)
    if not roll_out.since_ms:
        return _moved(roll_out, evidence, RollOutState.RUNNING)
    dwelt_ms = evidence.now_ms - roll_out.since_ms
    if dwelt_ms < roll_out.dwell_ms:
        return None
    if evidence.answers >= roll_out.least_answers:
        return _advanced(roll_out, evidence)
    if dwelt_ms >= STALLED_DWELLS * roll_out.dwell_ms:
        return _moved(roll_out, evidence, RollOutState.STOPPED)
    return None


def _advanced(roll_out: RollOut, evidence: Evidence) -> RollOut:
    if roll_out.step + 1 == len(roll_out.steps):
        return _moved(roll_out, evidence, RollOutState.DONE)
    advanced = msgspec.structs.replace(roll_out, step=roll_out.step + 1)
    return _moved(advanced, evidence, RollOutState.RUNNING)


def _moved(
    roll_out: RollOut, evidence: Evidence, state: RollOutState
) -> RollOut:
    return msgspec.structs.replace(
        roll_out, state=state, since_ms=evidence.now_ms
    )
