"""Let roll-outs go on once the evidence clears the target version."""

import dataclasses
from typing import Final

from marigoldhoist.components.canary.analysis import CanaryAnalysis
from marigoldhoist.components.canary.clearance import TO_COMPLETE, TO_RAMP_UP
from marigoldhoist.components.canary.events import (
    COMPLETION_HELD,
    RAMP_UP_CLEARED,
    RAMP_UP_HELD,
    VERSION_CONFIRMED,
)
from marigoldhoist.components.canary.models import RollOut
from marigoldhoist.components.canary.traffic_split import RampSchedule
from marigoldhoist.core.clock import SYSTEM_CLOCK, SystemClock
from marigoldhoist.core.events import LogEvent, emit

# Share of the allowed time before the ramp from which a version may be cleared,
# so that the daemons have exchanged the clearance when the ramp starts.
CLEARANCE_LEAD: Final = 0.05
# Time for which the evidence has to allow the completion without a break, as
# the other daemons' evidence of the same time is still on its way.
CONFIRMATION_S: Final = 2.0
# While a roll-out is held, its evidence is logged once in this time.
HELD_LOG_INTERVAL_S: Final = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Logged:
    """The last event that was logged of an order; the time is boot time."""

    event: LogEvent
    logged_s: float


class RollOutGate:
    """Holds a roll-out while the evidence does not speak for its target.

    The share of sessions then stays as it is. Whether the deadline is missed
    matters less than that a bad version replaces a good one for good.
    """

    def __init__(
        self,
        analysis: CanaryAnalysis,
        schedule: RampSchedule,
        clock: SystemClock = SYSTEM_CLOCK,
    ) -> None:
        self._analysis = analysis
        self._schedule = schedule
        self._clock = clock
        self._logged_by_subject: dict[str, _Logged] = {}
        # Boot times from which the evidence allows completions without a break.
        self._allowed_since_by_subject: dict[str, float] = {}

    def update_ramp(self, roll_out: RollOut) -> None:
        """Clear the target for the ramp once the evidence allows it."""
        now_s = self._clock.boottime_s()
        lead = self._schedule.ramp_starts_at - roll_out.progress(now_s)
        if roll_out.cleared_s <= now_s or lead > CLEARANCE_LEAD:
            return
        assessment = self._analysis.assess(roll_out.order.service)
        if assessment.allows(TO_RAMP_UP):
            roll_out.cleared_s = now_s
            emit(
                RAMP_UP_CLEARED,
                **self._roll_out_fields(roll_out),
                **assessment.log_fields(),
            )
        elif lead <= 0 and self._is_due(RAMP_UP_HELD, roll_out):
            emit(
                RAMP_UP_HELD,
                **self._roll_out_fields(roll_out),
                **assessment.log_fields(),
            )

    def update_control_group(self, roll_out: RollOut) -> None:
        """Confirm the target for all sessions once the evidence allows it."""
        now_s = self._clock.boottime_s()
        ramp_starts_at = self._schedule.ramp_starts_at
        progress = roll_out.traffic_progress(now_s, ramp_starts_at)
        until_ramp_s = (ramp_starts_at - progress) * roll_out.order.allowed_s
        if roll_out.confirmed_s <= now_s or until_ramp_s > CONFIRMATION_S:
            return
        subject = roll_out.order.subject
        assessment = self._analysis.assess(roll_out.order.service)
        if not assessment.allows(TO_COMPLETE):
            self._allowed_since_by_subject.pop(subject, None)
            return
        since_s = self._allowed_since_by_subject.setdefault(subject, now_s)
        if until_ramp_s >= 0 or now_s - since_s < CONFIRMATION_S:
            return
        roll_out.confirmed_s = now_s
        emit(
            VERSION_CONFIRMED,
            **self._roll_out_fields(roll_out),
            **assessment.log_fields(),
        )

    def may_complete(self, roll_out: RollOut) -> bool:
        """Return whether the evidence allows to stop the old replicas."""
        assessment = self._analysis.assess(roll_out.order.service)
        if assessment.allows(TO_COMPLETE):
            return True
        if self._is_due(COMPLETION_HELD, roll_out):
            emit(
                COMPLETION_HELD,
                **self._roll_out_fields(roll_out),
                **assessment.log_fields(),
            )
        return False

    def _is_due(self, event: LogEvent, roll_out: RollOut) -> bool:
        """Return whether to log an event of an order, now or again."""
        subject = roll_out.order.subject
        now_s = self._clock.boottime_s()
        last = self._logged_by_subject.get(subject)
        if (
            last is not None
            and last.event is event
            and now_s - last.logged_s < HELD_LOG_INTERVAL_S
        ):
            return False
        self._logged_by_subject[subject] = _Logged(event, now_s)
        return True

    def _roll_out_fields(self, roll_out: RollOut) -> dict[str, object]:
        return {
            'service': roll_out.order.service,
            'target': roll_out.order.target,
            'progress': round(roll_out.progress(self._clock.boottime_s()), 3),
        }
