"""What a daemon does beside its requests: share, learn, judge and plan.

All replayed daemons decide from one merged summary, which is as old as
the interval at which daemons publish theirs.
"""

import dataclasses

from marigoldhoist.components.health.detector import Alarm, DegradationDetector
from marigoldhoist.components.quality.cells import (
    CellKey,
    OwnCells,
    SummaryMerger,
)
from tools.bench.replay.contenders import OurContender

MODEL = 'model'
HOST = 'replayed'
SHARE_INTERVAL_S = 0.5
PLAN_INTERVAL_S = 10.0


@dataclasses.dataclass(slots=True)
class Learner:
    """The learning side of the policy, kept from one replay to the next."""

    policy: OurContender
    judge: DegradationDetector
    own: OwnCells
    merger: SummaryMerger
    held: set[str]
    domains_by_version: dict[str, int]
    answers: int = 0
    since_s: float = 0

    def note(self, key: CellKey, category: int) -> None:
        """Count an answer or a rating."""
        self.own.note(key, category)
        self.answers += 1

    def share(self) -> list[Alarm]:
        """Merge the new summary; return the versions to hold."""
        observed = self.merger.merge(HOST, self.own.summary(is_full=False))
        self.policy.observe(observed)
        for observation in observed:
            self.judge.observe(observation)
        alarms = [
            alarm
            for alarm in self.judge.alarms(self.domains_by_version)
            if alarm.version not in self.held
        ]
        self.held.update(alarm.version for alarm in alarms)
        return alarms

    def plan(self, now_s: float) -> None:
        """Plan anew, and set the tests to the traffic."""
        self.policy.replan(set(self.policy.versions) - self.held)
        elapsed_s = max(1, now_s - self.since_s)
        self.judge.calibrate(self.answers / elapsed_s)


def new_learner(
    policy: OurContender, domains_by_version: dict[str, int]
) -> Learner:
    """Return a learner that knows nothing yet."""
    return Learner(
        policy=policy,
        judge=DegradationDetector(policy.estimator, policy.versions),
        own=OwnCells(HOST),
        merger=SummaryMerger(),
        held=set(),
        domains_by_version=domains_by_version,
    )
