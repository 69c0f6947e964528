"""Roll-outs of a service to a version, and how far they are."""

import dataclasses
import enum

from marigoldhoist.components.canary.const import (
    LONGEST_ORDER_AGE_S,
    ORDINARY_GAP_S,
    TELL_PART,
    TELL_S,
)


class RollOutState(enum.Enum):
    """How far a roll-out is; the last two are final."""

    ORDERED = 'ordered'
    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'

    @property
    def is_final(self) -> bool:
        """Tell whether nothing follows."""
        return self in {RollOutState.COMPLETED, RollOutState.ROLLED_BACK}


@dataclasses.dataclass(frozen=True, slots=True)
class RollOutOrder:
    """The operator's order to move a service to a version within a time.

    The offset tells one order from another.
    """

    service: str
    target: str
    allowed_s: float
    offset: int = 0

    @property
    def subject(self) -> str:
        """Return what daemons' findings about the roll-out go by."""
        return f'roll-out/{self.service}/{self.target}/{self.offset}'


@dataclasses.dataclass(frozen=True, slots=True)
class RollOutStatus:
    """The state of a roll-out as it is stored."""

    service: str
    target: str
    state: RollOutState


@dataclasses.dataclass(slots=True)
class RollOut:
    """A roll-out as this daemon sees it; `seen_s` is a boot time."""

    order: RollOutOrder
    seen_s: float
    state: RollOutState = RollOutState.ORDERED
    is_held: bool = False

    @property
    def is_open(self) -> bool:
        """Tell whether the new version may still get work."""
        return not self.is_held and self.state is not RollOutState.ROLLED_BACK

    def progress(self, now_s: float) -> float:
        """Return the part of the allowed time that has passed."""
        return (now_s - self.seen_s) / max(1, self.order.allowed_s)


def is_told(roll_out: RollOut, now_s: float) -> bool:
    """Tell whether daemons have had time to tell of sessions under way."""
    tell_s = min(TELL_S, TELL_PART * roll_out.order.allowed_s)
    return now_s - roll_out.seen_s >= tell_s


def begun(order: RollOutOrder, now_s: float, unseen_s: float | None) -> RollOut:
    """Return a roll-out that was ordered within the seconds before now.

    None tells that nothing was known before.
    """
    excess_s = max(0, (unseen_s or 0) - ORDINARY_GAP_S)
    return RollOut(order, now_s - min(excess_s, LONGEST_ORDER_AGE_S))
