"""The simulated replicas of a replay and a daemon's view of them."""

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
from tools.bench.replay.engine import FakeEngine
from tools.bench.replay.policies import OraclePolicy, ReplayPolicy
from tools.bench.replay.scheduler import EventScheduler
from tools.bench.replay.workload import Workload

# Time until the host list no longer contains a failed replica.
HOST_LIST_LAG_S = 2.0
DAEMON_HOST = 'replayed'
FAILURE_DOMAIN = 'domain-0'
# The background load of a replica moves by this share of the difference to
# its target in each interval.
BACKGROUND_INTERVAL_S = 0.5
BACKGROUND_SMOOTHING = 0.3


class Fleet:
    """The replicas of all versions and the selection among them.

    A failed replica stays listed until the host list is updated. Versions
    in `held_versions` get no requests.
    """

    def __init__(
        self,
        workload: Workload,
        scheduler: EventScheduler,
        policy: ReplayPolicy,
        rng: random.Random,
    ) -> None:
        self.held_versions: set[str] = set()
        self._workload = workload
        self._scheduler = scheduler
        self._policy = policy
        self._pick_context = PickContext('', rng)
        self._service_time_s = DEFAULT_SERVICE_TIME_S
        self._next_index_by_version: dict[str, int] = {}
        self._picked_by_version: dict[str, FakeEngine] = {}
        self._subset_by_version: dict[str, list[Replica]] = {}
        self.engines_by_version = _engines(workload, scheduler)
        self._engine_by_host = {
            engine.replica.host: engine
            for engines in self.engines_by_version.values()
            for engine in engines
        }
        self.times_by_version = getattr(
            policy,
            'times_by_version',
            {version.name: StageTimes() for version in workload.versions},
        )
        scheduler.call_every(
            BACKGROUND_INTERVAL_S, self._update_background_load
        )
        self._report_age_s = workload.report_age_s
        scheduler.call_after(self._report_age_s, self._publish_reports)

    def set_report_age(self, age_s: float) -> None:
        """Set the interval of load reports in seconds.

        Each report is shown one interval after its count.
        """
        self._report_age_s = age_s

    def engines_in_domain(self, failure_domain: str) -> list[FakeEngine]:
        """Return the replicas of a failure domain."""
        return [
            engine
            for engine in self._engine_by_host.values()
            if engine.replica.failure_domain == failure_domain
        ]

    def clear_picks(self) -> None:
        """Forget the selected replicas at the start of a new decision."""
        self._picked_by_version.clear()

    def wait_s(self, version: str) -> float | None:
        """Return the expected seconds to a version's first token.

        Return None if the version is held or has no listed replica.
        """
        if version in self.held_versions:
            return None
        times = self.times_by_version[version]
        if isinstance(self._policy, OraclePolicy):
            engine = self.pick(version)
            return None if engine is None else self._true_wait_s(engine, times)
        least = least_load(self._subset(version))
        return None if least is None else least.wait_s(times)

    def pick(self, version: str) -> FakeEngine | None:
        """Return a version's replica, the same one within a decision."""
        if version in self.held_versions:
            return None
        picked = self._picked_by_version.get(version)
        if picked is None:
            picked = self._pick(self.engines_by_version[version], version)
            if picked is not None:
                self._picked_by_version[version] = picked
        return picked

    def fail(self, failed: list[FakeEngine]) -> None:
        """Fail replicas, and remove them from the host list later."""
        for engine in failed:
            engine.fail()
        self._scheduler.call_after(
            HOST_LIST_LAG_S, lambda: self._remove_from_host_list(failed)
        )

    def _pick(
        self, engines: list[FakeEngine], version: str
    ) -> FakeEngine | None:
        if not engines:
            return None
        if self._policy.is_round_robin:
            index = self._next_index_by_version.get(version, 0)
            self._next_index_by_version[version] = index + 1
            return engines[index % len(engines)]
        if isinstance(self._policy, OraclePolicy):
            running = [engine for engine in engines if engine.is_up]
            return min(running, key=lambda engine: engine.load, default=None)
        return self._pick_by_load(version)

    def _subset(self, version: str) -> list[Replica]:
        subset = self._subset_by_version.get(version)
        if subset is None:
            engines = self.engines_by_version[version]
            replicas = [engine.replica for engine in engines]
            subset = replica_subset(replicas, DAEMON_HOST, FAILURE_DOMAIN)
            self._subset_by_version[version] = subset
        return subset

    def _true_wait_s(self, engine: FakeEngine, times: StageTimes) -> float:
        return times.wait_s(engine.load, self._workload.batch_limit)

    def _pick_by_load(self, version: str) -> FakeEngine | None:
        """Pick as a daemon does, by load reports and its own requests."""
        context = LoadContext(self._scheduler.now_s, self._service_time_s)
        views = replica_views(self._subset(version), context)
        picked = pick_replica(views, self._pick_context)
        if picked is None:
            return None
        return self._engine_by_host[picked.host]

    def _remove_from_host_list(self, failed: list[FakeEngine]) -> None:
        self._subset_by_version.clear()
        self.engines_by_version = {
            version: [engine for engine in engines if engine not in failed]
            for version, engines in self.engines_by_version.items()
        }

    def _publish_reports(self) -> None:
        for engine in self._engine_by_host.values():
            engine.publish_report()
        self._scheduler.call_after(self._report_age_s, self._publish_reports)

    def _update_background_load(self) -> None:
        """Move the load of the other daemons towards its target.

        The daemons that are not replayed send a version as many requests
        each as the replayed ones, evenly over its replicas.
        """
        others = 1 / self._workload.replayed_share - 1
        if not others:
            return
        for engines in self.engines_by_version.values():
            own_load = sum(
                engine.load - engine.background_load for engine in engines
            )
            for engine in engines:
                target = others * own_load / len(engines)
                difference = target - engine.background_load
                engine.background_load += BACKGROUND_SMOOTHING * difference


def _engines(
    workload: Workload, scheduler: EventScheduler
) -> dict[str, list[FakeEngine]]:
    domains = workload.failure_domains
    return {
        version.name: [
            FakeEngine(
                scheduler,
                workload,
                version,
                f'{version.name}-{number}',
                f'domain-{(rank + number) % domains}',
            )
            for number in range(version.replicas)
        ]
        for rank, version in enumerate(workload.versions)
    }
