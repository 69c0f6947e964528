"""Run the scenarios of a workload under every policy."""

import copy
import dataclasses
import random
from collections.abc import Iterator

import msgspec

from tools.bench.replay.history import observe_idle_times, train_on_history
from tools.bench.replay.learner import Learner, new_learner
from tools.bench.replay.policies import (
    DaemonPolicy,
    OraclePolicy,
    ReplayPolicy,
    fixed_policies,
    version_costs,
)
from tools.bench.replay.replay import Replay
from tools.bench.replay.rows import BenchRow, bench_row
from tools.bench.replay.scenarios import Scenario, scenario_by_name
from tools.bench.replay.stream import ReplayRequest, make_stream
from tools.bench.replay.workload import Workload

HISTORY_ANSWERS = 30_000
REQUESTS = 900
# Requests in this first share of a replay are not measured.
WARM_UP_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Suite:
    """All scenarios of one workload with one seed."""

    workload: Workload
    seed: int
    requests: int = REQUESTS

    def rows(self, only: str = '') -> Iterator[BenchRow]:
        """Yield a row for each policy in every scenario, or in one."""
        trained = self.untrained_learner()
        train_on_history(
            self.workload,
            trained,
            HISTORY_ANSWERS,
            random.Random(f'{self.seed}past'),
        )
        for name, scenario in scenario_by_name.items():
            if only in ('', name):
                yield from self.scenario_rows(scenario, trained)

    def scenario_rows(
        self, scenario: Scenario, trained: Learner
    ) -> Iterator[BenchRow]:
        """Yield a row for each policy in one scenario.

        The trained learner is copied, unless the scenario is a cold start.
        """
        workload = self.workload
        if scenario.is_quick:
            workload = msgspec.structs.replace(
                workload, first_token_s=workload.quick_first_token_s
            )
        requests_per_s = scenario.requests_per_s(workload)
        stream = make_stream(
            workload,
            requests_per_s,
            self.requests,
            self.seed,
            scenario.flood(workload, self.requests / requests_per_s),
        )
        learner = copy.deepcopy(
            self.untrained_learner() if scenario.is_cold else trained
        )
        yield self._row(scenario, stream, learner.policy, learner)
        for policy in self._reference_policies():
            yield self._row(scenario, stream, policy, None)

    def _row(
        self,
        scenario: Scenario,
        stream: list[ReplayRequest],
        policy: ReplayPolicy,
        learner: Learner | None,
    ) -> BenchRow:
        length_s = stream[-1].time_s
        replay = Replay(self.workload, policy, learner, self.seed)
        replay.tally.measured_from_s = WARM_UP_SHARE * length_s
        scenario.set_up(replay, self.workload, length_s)
        tally = replay.run(stream)
        row_key = (self.workload.name, scenario.name, policy.name)
        return bench_row(
            row_key,
            self.seed,
            self.workload,
            tally,
            length_s,
            replay.quality_drop,
        )

    def _reference_policies(self) -> list[ReplayPolicy]:
        rng = random.Random(self.seed)
        oracle = OraclePolicy(self.workload, rng)
        observe_idle_times(self.workload, oracle, rng)
        return [*fixed_policies(self.workload, rng), oracle]

    def untrained_learner(self) -> Learner:
        """Return a learner without past answers."""
        workload = self.workload
        domains_by_version = {
            version.name: min(workload.failure_domains, version.replicas)
            for version in workload.versions
        }
        policy = DaemonPolicy(
            version_costs(workload), random.Random(f'{self.seed}ours')
        )
        return new_learner(policy, domains_by_version)
