"""Count what callers got."""

import dataclasses

from hdrh.histogram import HdrHistogram

from tools.bench.replay.stream import ReplayRequest

US_PER_S = 1_000_000
LONGEST_US = 3600 * US_PER_S
DIGITS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """An answer as its caller got it; times in seconds."""

    request: ReplayRequest
    version: str
    is_good: bool
    first_token_s: float
    gap_s: float


class Tally:
    """Counts from the time on at which the measurement begins."""

    def __init__(self) -> None:
        self.begin_s: float = 0
        self.requests = 0
        self.refused = 0
        self.failed = 0
        self.delivered = 0
        self.in_time = 0
        self.good = 0
        self.cost: float = 0
        self.sends = 0
        self.retries = 0
        self.from_bad = 0
        self.alarms: list[tuple[float, str]] = []
        self.firsts = HdrHistogram(1, LONGEST_US, DIGITS)
        self.gaps = HdrHistogram(1, LONGEST_US, DIGITS)
        self.good_by_workspace: dict[str, list[int]] = {}

    def is_counted(self, request: ReplayRequest) -> bool:
        """Tell whether a request came within the measurement."""
        return request.time_s >= self.begin_s

    def deliver(self, delivery: Delivery) -> None:
        """Count an answer."""
        request = delivery.request
        if not self.is_counted(request):
            return
        self.delivered += 1
        self.good += delivery.is_good
        self.in_time += delivery.first_token_s <= request.ask.goal.first_token_s
        counts = self.good_by_workspace.setdefault(
            request.ask.workspace, [0, 0]
        )
        counts[0] += delivery.is_good
        counts[1] += 1
        self.firsts.record_value(max(1, int(delivery.first_token_s * US_PER_S)))
        self.gaps.record_value(max(1, int(delivery.gap_s * US_PER_S)))

    def at_target(self, target: float) -> float:
        """Return the share of answers in workspaces that reach the target."""
        reached = sum(
            count
            for good, count in self.good_by_workspace.values()
            if good >= target * count
        )
        return reached / max(1, self.delivered)
