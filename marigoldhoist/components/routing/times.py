"""Track each version's time to first token and time to the complete answer."""

import dataclasses
import math
from typing import Final

# Estimates for a version without any observed answer.
INITIAL_FIRST_TOKEN_S: Final = 0.1
INITIAL_TOTAL_S: Final = 2.0
# Standard deviation of the logarithm of the total time.
INITIAL_LOG_DEVIATION: Final = 0.5
# Lower bound of the weight of a new answer in the moving averages, so that
# the averages keep following changes after many answers.
MIN_WEIGHT: Final = 0.02
# Keeps logarithms and the division by the standard deviation finite.
MIN_TIME_S: Final = 1e-3
# Safety margin between the end of a hold and the deadline of the next stage.
HOLD_MARGIN_S: Final = 0.05


@dataclasses.dataclass(slots=True)
class StageTimes:
    """Moving averages of one version's response times.

    The total time of an answer is modelled as log-normal: `mean_log_total`
    and `variance` describe the logarithm of the seconds.
    """

    first_token_s: float = INITIAL_FIRST_TOKEN_S
    mean_log_total: float = math.log(INITIAL_TOTAL_S)
    variance: float = INITIAL_LOG_DEVIATION * INITIAL_LOG_DEVIATION
    answers: int = 0

    def observe(
        self, first_token_s: float, total_s: float, was_queued: bool = False
    ) -> None:
        """Update the averages with the times of one answer, in seconds.

        A queued answer is ignored, because its queueing time says nothing
        about the speed of the version.
        """
        if was_queued:
            return
        self.answers += 1
        weight = max(MIN_WEIGHT, 1 / (self.answers + 1))
        self.first_token_s += weight * (first_token_s - self.first_token_s)
        gap = math.log(max(MIN_TIME_S, total_s)) - self.mean_log_total
        self.mean_log_total += weight * gap
        self.variance += weight * (gap * gap - self.variance)

    def wait_s(self, load: float, slots: int) -> float:
        """Return the expected seconds to the first token at a replica.

        Requests beyond the replica's slots queue until running answers end.
        """
        queued = max(0, load - slots + 1)
        total_s = math.exp(self.mean_log_total + self.variance / 2)
        return self.first_token_s + queued * total_s / slots

    def probability_within(self, limit_s: float) -> float:
        """Return the probability that an answer completes within a limit."""
        if limit_s <= MIN_TIME_S:
            return 0
        deviation = math.sqrt(self.variance) + MIN_TIME_S
        score = (math.log(limit_s) - self.mean_log_total) / deviation
        return 0.5 * (1 + math.erf(score / math.sqrt(2)))


class VersionTimes:
    """Response times of a model's versions, ordered from cheap to costly."""

    def __init__(self, versions: tuple[str, ...]) -> None:
        self.times_by_version = {name: StageTimes() for name in versions}
        self._versions = versions

    def hold_s(self, limit_s: float, version: str) -> float:
        """Return how many seconds an answer of a version may be held back.

        The limit is the deadline of the first token. After a longer hold, a
        costlier version would deliver its first token past the deadline.
        """
        costlier = self._versions[self._versions.index(version) + 1 :]
        next_s = max(
            (self.times_by_version[name].first_token_s for name in costlier),
            default=0,
        )
        return limit_s - HOLD_MARGIN_S - next_s

    def probability_in_time(self, limit_s: float, version: str) -> float:
        """Return the probability that an answer completes during its hold."""
        times = self.times_by_version[version]
        return times.probability_within(self.hold_s(limit_s, version))
