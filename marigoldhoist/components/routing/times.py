"""How long a version takes to the first token and to the whole answer."""

import dataclasses
import math
from typing import Final

START_FIRST_S: Final = 0.1
START_WHOLE_S: Final = 2.0
START_SPREAD: Final = 0.5
MEMORY: Final = 0.02
LEAST_S: Final = 1e-3
GUARD_S: Final = 0.05


@dataclasses.dataclass(slots=True)
class StageTimes:
    """Moving averages of one version's times.

    The time of a whole answer is taken as log-normal.
    """

    first_s: float = START_FIRST_S
    log_whole: float = math.log(START_WHOLE_S)
    variance: float = START_SPREAD * START_SPREAD
    answers: int = 0

    def observe(
        self, first_s: float, whole_s: float, was_queued: bool = False
    ) -> None:
        """Learn from one answer; a wait in a queue is not the version's."""
        if was_queued:
            return
        self.answers += 1
        weight = max(MEMORY, 1 / (self.answers + 1))
        self.first_s += weight * (first_s - self.first_s)
        gap = math.log(max(LEAST_S, whole_s)) - self.log_whole
        self.log_whole += weight * gap
        self.variance += weight * (gap * gap - self.variance)

    def wait_s(self, load: float, slots: int) -> float:
        """Return the expected time to the first token at a replica.

        Beyond its slots requests queue for one of the answers to end.
        """
        queued = max(0, load - slots + 1)
        whole_s = math.exp(self.log_whole + self.variance / 2)
        return self.first_s + queued * whole_s / slots

    def chance_within(self, limit_s: float) -> float:
        """Return the chance that a whole answer takes no longer."""
        if limit_s <= LEAST_S:
            return 0
        spread = math.sqrt(self.variance) + LEAST_S
        score = (math.log(limit_s) - self.log_whole) / spread
        return 0.5 * (1 + math.erf(score / math.sqrt(2)))


class VersionTimes:
    """Times of all versions of a model, from cheap to costly."""

    def __init__(self, versions: tuple[str, ...]) -> None:
        self.times_by_version = {name: StageTimes() for name in versions}
        self._versions = versions

    def hold_s(self, limit_s: float, version: str) -> float:
        """Return how long an answer may be held, of a limit in seconds.

        After it a dearer version would give its first token too late.
        """
        dearer = self._versions[self._versions.index(version) + 1 :]
        next_s = max(
            (self.times_by_version[name].first_s for name in dearer),
            default=0,
        )
        return limit_s - GUARD_S - next_s

    def chance_in_time(self, limit_s: float, version: str) -> float:
        """Return the chance that a whole answer comes while it is held."""
        times = self.times_by_version[version]
        return times.chance_within(self.hold_s(limit_s, version))
