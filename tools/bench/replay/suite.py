"""Run every scenario of a workload under every policy."""

import copy
import dataclasses
import random
from collections.abc import Iterator

import msgspec

from tools.bench.replay.contenders import (
    BoundContender,
    Contender,
    OurContender,
    costs,
    fixed_contenders,
)
from tools.bench.replay.history import recall, recall_times
from tools.bench.replay.learner import Learner, new_learner
from tools.bench.replay.replay import Replay
from tools.bench.replay.rows import BenchRow, bench_row
from tools.bench.replay.scenarios import Scenario, scenarios_by_name
from tools.bench.replay.stream import ReplayRequest, make_stream
from tools.bench.replay.workload import Workload

PAST_ANSWERS = 30_000
REQUESTS = 900
WARM_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Suite:
    """All scenarios of one workload with one seed."""

    workload: Workload
    seed: int
    requests: int = REQUESTS

    def rows(self, only: str = '') -> Iterator[BenchRow]:
        """Yield a row for each scenario, or for one, and each policy."""
        past = self.learner()
        recall(
            self.workload, past, PAST_ANSWERS, random.Random(f'{self.seed}past')
        )
        for name, scenario in scenarios_by_name.items():
            if only in ('', name):
                yield from self.scenario_rows(scenario, past)

    def scenario_rows(
        self, scenario: Scenario, past: Learner
    ) -> Iterator[BenchRow]:
        """Yield a row for each policy in one scenario."""
        workload = self.workload
        if scenario.is_quick:
            workload = msgspec.structs.replace(
                workload, first_token_s=workload.quick_first_token_s
            )
        rate = scenario.requests_per_s(workload)
        stream = make_stream(
            workload,
            rate,
            self.requests,
            self.seed,
            scenario.flood(workload, self.requests / rate),
        )
        learner = copy.deepcopy(self.learner() if scenario.is_cold else past)
        yield self._row(scenario, stream, learner.policy, learner)
        for contender in self._others():
            yield self._row(scenario, stream, contender, None)

    def _row(
        self,
        scenario: Scenario,
        stream: list[ReplayRequest],
        contender: Contender,
        learner: Learner | None,
    ) -> BenchRow:
        length_s = stream[-1].time_s
        replay = Replay(self.workload, contender, learner, self.seed)
        replay.tally.begin_s = WARM_SHARE * length_s
        scenario.prepare(replay, self.workload, length_s)
        tally = replay.run(stream)
        names = (self.workload.name, scenario.name, contender.name)
        return bench_row(
            names, self.seed, self.workload, tally, length_s, replay.turn
        )

    def _others(self) -> list[Contender]:
        rng = random.Random(self.seed)
        bound = BoundContender(self.workload, rng)
        recall_times(self.workload, bound, rng)
        return [*fixed_contenders(self.workload, rng), bound]

    def learner(self) -> Learner:
        """Return a learner that knows nothing yet."""
        workload = self.workload
        domains_by_version = {
            version.name: min(workload.failure_domains, version.replicas)
            for version in workload.versions
        }
        ours = OurContender(costs(workload), random.Random(f'{self.seed}ours'))
        return new_learner(ours, domains_by_version)
