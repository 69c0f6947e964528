"""Count the outcomes of requests in a replay."""

import dataclasses

from hdrh.histogram import HdrHistogram

from tools.bench.replay.stream import ReplayRequest

US_PER_S = 1_000_000
MAX_TIME_US = 3600 * US_PER_S
SIGNIFICANT_DIGITS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """A delivered answer; times are in seconds."""

    request: ReplayRequest
    version: str
    is_good: bool
    first_token_s: float
    token_gap_s: float


class Tally:
    """Counts outcomes of the requests that arrived since `measured_from_s`.

    Only alarms and `bad_version_answers` are counted from the start of the
    replay. `alarms` holds the time in seconds and the version of each alarm,
    `good_and_total_by_workspace` the counts of delivered answers.
    """

    def __init__(self) -> None:
        self.measured_from_s: float = 0
        self.requests = 0
        self.refused = 0
        self.failed = 0
        self.delivered = 0
        self.on_time = 0
        self.good = 0
        self.cost: float = 0
        self.sends = 0
        self.retries = 0
        self.bad_version_answers = 0
        self.alarms: list[tuple[float, str]] = []
        self.first_token_us = HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
        self.token_gap_us = HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
        self.good_and_total_by_workspace: dict[str, list[int]] = {}

    def is_measured(self, request: ReplayRequest) -> bool:
        """Return whether a request arrived after the warm-up."""
        return request.time_s >= self.measured_from_s

    def deliver(self, delivery: Delivery) -> None:
        """Count a delivered answer."""
        request = delivery.request
        if not self.is_measured(request):
            return
        self.delivered += 1
        self.good += delivery.is_good
        self.on_time += (
            delivery.first_token_s <= request.cascade_request.goal.first_token_s
        )
        counts = self.good_and_total_by_workspace.setdefault(
            request.cascade_request.workspace, [0, 0]
        )
        counts[0] += delivery.is_good
        counts[1] += 1
        self.first_token_us.record_value(
            max(1, int(delivery.first_token_s * US_PER_S))
        )
        self.token_gap_us.record_value(
            max(1, int(delivery.token_gap_s * US_PER_S))
        )

    def share_at_target(self, target: float) -> float:
        """Return the share of answers in workspaces that reach a target.

        The target is a share of good answers.
        """
        reached = sum(
            count
            for good, count in self.good_and_total_by_workspace.values()
            if good >= target * count
        )
        return reached / max(1, self.delivered)
