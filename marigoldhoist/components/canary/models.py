"""Models of the roll-out of a service to a version."""

import dataclasses
import enum
import math
from typing import Final, NamedTuple

from marigoldhoist.components.canary.const import (
    MAX_ORDER_AGE_S,
    MIN_RECENT_S,
    NORMAL_READ_GAP_S,
    RECENT_FRACTION,
    SESSION_EXCHANGE_FRACTION,
    SESSION_EXCHANGE_S,
)
from marigoldhoist.components.feeds.const import ERA_SETTLE_S

# The era in the marks of a store that reports none.
NO_ERA: Final = -1


class RollOutState(enum.Enum):
    """Progress of a roll-out; the last two states are final."""

    ORDERED = 'ordered'
    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'

    @property
    def is_final(self) -> bool:
        """Return whether no other state can follow."""
        return self in {RollOutState.COMPLETED, RollOutState.ROLLED_BACK}


class OrderMark(NamedTuple):
    """Position of an order's record; a later one compares greater."""

    era: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class RollOutOrder:
    """The operator's order to roll a service out to the target version.

    The roll-out has to be completed within `allowed_s`. The offset of the
    order's record and the era of the offset distinguish repeated orders for
    the same target.
    """

    service: str
    target: str
    allowed_s: float
    offset: int = 0
    era: int | None = None

    @property
    def mark(self) -> OrderMark:
        """Return the position by which orders are compared."""
        return OrderMark(NO_ERA if self.era is None else self.era, self.offset)

    def has_same_content(self, other: 'RollOutOrder') -> bool:
        """Return whether two orders differ by their records at most."""
        return (self.service, self.target, self.allowed_s) == (
            other.service,
            other.target,
            other.allowed_s,
        )

    @property
    def recent_s(self) -> float:
        """Return the age up to which answers can clear the target."""
        return max(MIN_RECENT_S, RECENT_FRACTION * self.allowed_s)

    @property
    def subject(self) -> str:
        """Return the subject under which daemons share their evidence."""
        return f'roll-out/{self.service}/{self.target}/{self.offset}'


@dataclasses.dataclass(frozen=True, slots=True)
class RollOutStatus:
    """The stored state of a roll-out."""

    service: str
    target: str
    state: RollOutState


@dataclasses.dataclass(slots=True)
class RollOut:
    """A roll-out as this daemon sees it.

    `ordered_s` is the estimated time of the order, on the boot-time clock.
    `is_rejected` is set when the target version is found bad,
    `is_found_elsewhere` if another daemon found it. `cleared_s` is
    the boot time from which the evidence allows to move more sessions than the
    canary's, `confirmed_s` the one from which it allows to move all of them.
    `stored_era` is the store's era in which the state was last known
    to be stored. `record_era` is the newest era in which the order's record was
    read, `record_era_s` the boot time at which it was first read there.
    """

    order: RollOutOrder
    ordered_s: float
    state: RollOutState = RollOutState.ORDERED
    is_rejected: bool = False
    cleared_s: float = math.inf
    stored_era: int | None = None
    record_era: int | None = None
    record_era_s: float = -math.inf
    is_found_elsewhere: bool = False
    confirmed_s: float = math.inf

    @property
    def is_target_allowed(self) -> bool:
        """Return whether the target version may still get requests."""
        if self.state.is_final:
            return self.state is RollOutState.COMPLETED
        return not self.is_rejected

    def adopt_rejection(self) -> bool:
        """Reject the target as others did; return whether that is new."""
        if self.state.is_final or self.is_rejected:
            return False
        self.is_rejected = True
        self.is_found_elsewhere = True
        return True

    def is_stored_in(self, era: int | None) -> bool:
        """Return whether the store has the state; the first needs no record."""
        return self.state is RollOutState.ORDERED or self.stored_era == era

    def renew(self, order: RollOutOrder, now_s: float) -> bool:
        """Note a record of this order in a new era; return False for others.

        The restored record and the operator's new record of an order may both
        be read, within the time in which lost records are written again. A
        later record with the same content is another order.
        """
        if not self.order.has_same_content(order):
            return False
        if order.era != self.record_era:
            self.record_era = order.era
            self.record_era_s = now_s
            return True
        return now_s - self.record_era_s < ERA_SETTLE_S

    def progress(self, now_s: float) -> float:
        """Return the fraction of the allowed time that has passed."""
        return (now_s - self.ordered_s) / max(1, self.order.allowed_s)

    def traffic_progress(self, now_s: float, ramp_starts_at: float) -> float:
        """Return the progress of the traffic shift.

        It stays at `ramp_starts_at` until the target version is cleared.
        """
        progress = self.progress(now_s)
        late = max(0, self.progress(self.cleared_s) - ramp_starts_at)
        return max(min(progress, ramp_starts_at), progress - late)


def is_session_exchange_over(roll_out: RollOut, now_s: float) -> bool:
    """Return whether daemons had time to exchange their active sessions."""
    exchange_s = min(
        SESSION_EXCHANGE_S, SESSION_EXCHANGE_FRACTION * roll_out.order.allowed_s
    )
    return now_s - roll_out.ordered_s >= exchange_s


def new_roll_out(
    order: RollOutOrder, now_s: float, unseen_s: float | None
) -> RollOut:
    """Return a roll-out for an order that was just read.

    `unseen_s` is the time in seconds since the previous read of the orders, or
    None if this was the first read. The order may have been stored at any time
    in between; see NORMAL_READ_GAP_S.
    """
    excess_s = max(0, (unseen_s or 0) - NORMAL_READ_GAP_S)
    return RollOut(
        order,
        now_s - min(excess_s, MAX_ORDER_AGE_S),
        record_era=order.era,
    )
