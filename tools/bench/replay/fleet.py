"""All fake replicas of a replay, and what a policy sees of them."""

import random

from marigoldhoist.components.placement.loads import LoadContext, replica_views
from marigoldhoist.components.placement.replicas import (
    PickContext,
    pick_replica,
)
from marigoldhoist.components.routing.const import DEFAULT_SERVICE_TIME_S
from marigoldhoist.components.routing.subsets import replica_subset
from marigoldhoist.components.routing.times import StageTimes
from marigoldhoist.components.routing.waits import least_load
from marigoldhoist.components.upstreams.models import Replica
from tools.bench.replay.clockwork import Clockwork
from tools.bench.replay.contenders import BoundContender, Contender
from tools.bench.replay.engine import FakeEngine
from tools.bench.replay.workload import Workload

LIST_LAG_S = 2.0
DAEMON = 'replayed'
DOMAIN = 'domain-0'
BACKGROUND_INTERVAL_S = 0.5
BACKGROUND_WEIGHT = 0.3


class Fleet:
    """Replicas by version; a replica that fails stays listed for a while."""

    def __init__(
        self,
        workload: Workload,
        clockwork: Clockwork,
        contender: Contender,
        rng: random.Random,
    ) -> None:
        self.held: set[str] = set()
        self._workload = workload
        self._clockwork = clockwork
        self._contender = contender
        self._picking = PickContext('', rng)
        self._service_time_s = DEFAULT_SERVICE_TIME_S
        self._turn_by_version: dict[str, int] = {}
        self._picked_by_version: dict[str, FakeEngine] = {}
        self._subset_by_version: dict[str, list[Replica]] = {}
        self.engines_by_version = _engines(workload, clockwork)
        self._engine_by_host = {
            engine.view.host: engine
            for engines in self.engines_by_version.values()
            for engine in engines
        }
        self.times_by_version = getattr(
            contender,
            'times_by_version',
            {version.name: StageTimes() for version in workload.versions},
        )
        clockwork.every(BACKGROUND_INTERVAL_S, self._follow_background)
        self._report_age_s = workload.report_age_s
        clockwork.after(self._report_age_s, self._report)

    def set_report_age(self, age_s: float) -> None:
        """Report loads at this interval from now on."""
        self._report_age_s = age_s

    def in_domain(self, failure_domain: str) -> list[FakeEngine]:
        """Return the replicas of a failure domain."""
        return [
            engine
            for engine in self._engine_by_host.values()
            if engine.view.failure_domain == failure_domain
        ]

    def forget_picks(self) -> None:
        """Begin a new decision."""
        self._picked_by_version.clear()

    def wait_s(self, version: str) -> float | None:
        """Return the expected seconds to the first token, if it is usable."""
        if version in self.held:
            return None
        times = self.times_by_version[version]
        if isinstance(self._contender, BoundContender):
            engine = self.pick(version)
            return None if engine is None else self._true_wait_s(engine, times)
        least = least_load(self._subset(version))
        return None if least is None else least.wait_s(times)

    def pick(self, version: str) -> FakeEngine | None:
        """Pick a replica, the same one within a decision."""
        if version in self.held:
            return None
        found = self._picked_by_version.get(version)
        if found is None:
            found = self._pick(self.engines_by_version[version], version)
            if found is not None:
                self._picked_by_version[version] = found
        return found

    def fail(self, lost: list[FakeEngine]) -> None:
        """Fail replicas; the host list follows after its lag."""
        for engine in lost:
            engine.fail()
        self._clockwork.after(LIST_LAG_S, lambda: self._unlist(lost))

    def _pick(
        self, engines: list[FakeEngine], version: str
    ) -> FakeEngine | None:
        if not engines:
            return None
        if self._contender.is_blind:
            turn = self._turn_by_version.get(version, 0)
            self._turn_by_version[version] = turn + 1
            return engines[turn % len(engines)]
        if isinstance(self._contender, BoundContender):
            up = [engine for engine in engines if engine.is_up]
            return min(up, key=lambda engine: engine.load, default=None)
        return self._pick_by_load(version)

    def _subset(self, version: str) -> list[Replica]:
        near = self._subset_by_version.get(version)
        if near is None:
            engines = self.engines_by_version[version]
            replicas = [engine.view for engine in engines]
            near = replica_subset(replicas, DAEMON, DOMAIN)
            self._subset_by_version[version] = near
        return near

    def _true_wait_s(self, engine: FakeEngine, times: StageTimes) -> float:
        return times.wait_s(engine.load, self._workload.batch_limit)

    def _pick_by_load(self, version: str) -> FakeEngine | None:
        """Pick as a daemon does, from reports and its own requests."""
        context = LoadContext(self._clockwork.now_s, self._service_time_s)
        views = replica_views(self._subset(version), context)
        picked = pick_replica(views, self._picking)
        if picked is None:
            return None
        return self._engine_by_host[picked.host]

    def _unlist(self, lost: list[FakeEngine]) -> None:
        self._subset_by_version.clear()
        self.engines_by_version = {
            version: [engine for engine in engines if engine not in lost]
            for version, engines in self.engines_by_version.items()
        }

    def _report(self) -> None:
        for engine in self._engine_by_host.values():
            engine.report()
        self._clockwork.after(self._report_age_s, self._report)

    def _follow_background(self) -> None:
        """Let the daemons that are not replayed do as the replayed ones."""
        others = 1 / self._workload.replayed_share - 1
        if not others:
            return
        for engines in self.engines_by_version.values():
            own = sum(engine.load - engine.background for engine in engines)
            for engine in engines:
                aim = others * own / len(engines)
                gap = aim - engine.background
                engine.background += BACKGROUND_WEIGHT * gap


def _engines(
    workload: Workload, clockwork: Clockwork
) -> dict[str, list[FakeEngine]]:
    domains = workload.failure_domains
    return {
        version.name: [
            FakeEngine(
                clockwork,
                workload,
                version,
                f'{version.name}-{number}',
                f'domain-{(rank + number) % domains}',
            )
            for number in range(version.replicas)
        ]
        for rank, version in enumerate(workload.versions)
    }
