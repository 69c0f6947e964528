"""Periodic work of a daemon: learn qualities, detect faults and replan.

All replayed daemons decide by one merged summary, which is as old as the
interval at which daemons publish their summaries.
"""

import dataclasses

from marigoldhoist.components.health.detector import Alarm, DegradationDetector
from marigoldhoist.components.quality.cells import (
    CellKey,
    OwnCells,
    SummaryMerger,
)
from tools.bench.replay.policies import DaemonPolicy

MODEL = 'model'
HOST = 'replayed'
SUMMARY_INTERVAL_S = 0.5
PLAN_INTERVAL_S = 10.0


@dataclasses.dataclass(slots=True)
class Learner:
    """The estimates and fault detection behind a policy.

    Its state can be trained before a replay. `answers` counts the answers and
    ratings since `counted_since_s`, in simulated seconds.
    """

    policy: DaemonPolicy
    detector: DegradationDetector
    own_cells: OwnCells
    merger: SummaryMerger
    held_versions: set[str]
    domains_by_version: dict[str, int]
    answers: int = 0
    counted_since_s: float = 0

    def count(self, key: CellKey, category: int) -> None:
        """Count an answer or a rating."""
        self.own_cells.note(key, category)
        self.answers += 1

    def merge_summary(self) -> list[Alarm]:
        """Merge the cells counted since the last call.

        Return the alarms of versions that were not held before; these
        versions are held from now on.
        """
        observed = self.merger.merge(
            HOST, self.own_cells.summary(is_full=False)
        )
        self.policy.observe(observed)
        for observation in observed:
            self.detector.observe(observation)
        alarms = [
            alarm
            for alarm in self.detector.alarms(self.domains_by_version)
            if alarm.version not in self.held_versions
        ]
        self.held_versions.update(alarm.version for alarm in alarms)
        return alarms

    def replan(self, now_s: float) -> None:
        """Recompute the plans and calibrate the detector to the traffic."""
        self.policy.replan(set(self.policy.versions) - self.held_versions)
        elapsed_s = max(1, now_s - self.counted_since_s)
        self.detector.calibrate(self.answers / elapsed_s)


def new_learner(
    policy: DaemonPolicy, domains_by_version: dict[str, int]
) -> Learner:
    """Return an untrained learner."""
    return Learner(
        policy=policy,
        detector=DegradationDetector(policy.estimator, policy.versions),
        own_cells=OwnCells(HOST),
        merger=SummaryMerger(),
        held_versions=set(),
        domains_by_version=domains_by_version,
    )
