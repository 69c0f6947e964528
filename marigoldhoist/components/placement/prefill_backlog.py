"""Estimate how long the prompts before it delay a request at a replica.

A replica prefills prompts one after the other, and a long one on a large model
takes seconds. Its count of requests does not show that, so the delay is learned
from this daemon's own requests: the time to a response head beyond the time
that its own prompt needs, and the time that responses are overdue.
"""

import dataclasses
import math
import statistics
from collections.abc import Sequence
from typing import Final

from marigoldhoist.components.placement.model_escalation import MeanDelays

# Time constant of the mean of observed delays.
SMOOTHING_TIME_S: Final = 0.3
# Largest weight of the mean so far when a delay is observed. Heads that arrive
# together would otherwise count for nothing after the first one.
MAX_PAST_WEIGHT: Final = 0.75
# Time constant by which an observed delay loses its weight.
FADE_TIME_S: Final = 1.0
# Time constant of the mean that shows a lasting delay.
LASTING_TIME_S: Final = 4.0
# Time for which an observed delay counts in that mean: the time since the last
# one, within these bounds.
MIN_GAP_S: Final = 0.02
MAX_GAP_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class PendingPrefill:
    """A request whose response has not begun.

    `expected_s` is the time that its own prompt needs, in seconds.
    """

    sent_s: float
    expected_s: float


class PrefillBacklog:
    """This daemon's view of the prompts that wait at one replica."""

    def __init__(self) -> None:
        self._pending: set[PendingPrefill] = set()
        self._delay_s: float = 0
        self._observed_s = -math.inf
        self._lasting_delay_s: float = 0

    @property
    def pending_s(self) -> float:
        """Return the expected prefill time of own requests, in seconds."""
        return sum(prefill.expected_s for prefill in self._pending)

    def begin(self, now_s: float, expected_s: float) -> PendingPrefill:
        """Record a request that is sent now; `finish` or `drop` must follow."""
        prefill = PendingPrefill(now_s, expected_s)
        self._pending.add(prefill)
        return prefill

    def finish(self, prefill: PendingPrefill, now_s: float) -> None:
        """Record that the response to a request begins now."""
        self.drop(prefill)
        weight = math.exp((self._observed_s - now_s) / SMOOTHING_TIME_S)
        weight = min(weight, MAX_PAST_WEIGHT)
        observed_s = max(0, now_s - prefill.sent_s - prefill.expected_s)
        self._delay_s = self._delay_s * weight + observed_s * (1 - weight)
        self._update_lasting(observed_s, now_s - self._observed_s)
        self._observed_s = now_s

    def drop(self, prefill: PendingPrefill) -> None:
        """Forget a request that ended without a response."""
        self._pending.discard(prefill)

    def delay_s(self, now_s: float) -> float:
        """Return the expected delay of a request sent now, in seconds."""
        fading = math.exp((self._observed_s - now_s) / FADE_TIME_S)
        overdue_s = (
            now_s - prefill.sent_s - prefill.expected_s
            for prefill in self._pending
        )
        return max(self._delay_s * fading, *overdue_s, 0)

    def lasting_delay_s(self, now_s: float) -> float:
        """Return the mean delay of the last seconds, in seconds.

        It fades as well while no response begins that could renew it.
        """
        fading = math.exp((self._observed_s - now_s) / LASTING_TIME_S)
        return self._lasting_delay_s * fading

    def _update_lasting(self, observed_s: float, gap_s: float) -> None:
        gap_s = min(MAX_GAP_S, max(MIN_GAP_S, gap_s))
        weight = math.exp(-gap_s / LASTING_TIME_S)
        self._lasting_delay_s *= weight
        self._lasting_delay_s += observed_s * (1 - weight)


def mean_delays(backlogs: Sequence[PrefillBacklog], now_s: float) -> MeanDelays:
    """Return the mean delays at several replicas, none without any."""
    if not backlogs:
        return MeanDelays()
    return MeanDelays(
        statistics.fmean(backlog.delay_s(now_s) for backlog in backlogs),
        statistics.fmean(
            backlog.lasting_delay_s(now_s) for backlog in backlogs
        ),
    )
