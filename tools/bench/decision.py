"""Measure the processor time of routing decisions at the target size.

Run `script/bench decision`.
"""

import random
import sys
import time

import fire

from tools.bench.replay.fleet import Fleet
from tools.bench.replay.history import observe_idle_times, train_on_history
from tools.bench.replay.learner import new_learner
from tools.bench.replay.policies import DaemonPolicy, version_costs
from tools.bench.replay.scheduler import EventScheduler
from tools.bench.replay.stream import make_stream
from tools.bench.replay.workload import WORKLOAD_FOLDER, load_workload

HISTORY_ANSWERS = 30_000
US_PER_S = 1_000_000


def bench(decisions: int = 5000, seed: int = 1) -> None:
    """Print the microseconds to choose a version and its replica."""
    workload = load_workload(WORKLOAD_FOLDER / 'target.json')
    rng = random.Random(seed)
    policy = DaemonPolicy(version_costs(workload), rng)
    domains_by_version = {version.name: 1 for version in workload.versions}
    train_on_history(
        workload, new_learner(policy, domains_by_version), HISTORY_ANSWERS, rng
    )
    observe_idle_times(workload, policy, rng)
    scheduler = EventScheduler()
    fleet = Fleet(workload, scheduler, policy, rng)
    scheduler.run_until(workload.report_age_s * 3)
    stream = make_stream(workload, 1, decisions, seed)
    for request in stream:
        policy.choose(request.cascade_request, fleet.wait_s)
    planning_s = time.process_time()
    policy.replan(policy.versions)
    planning_s = time.process_time() - planning_s
    choosing_s = time.process_time()
    for request in stream:
        fleet.clear_picks()
        choice = policy.choose(request.cascade_request, fleet.wait_s)
        if choice is not None:
            fleet.pick(choice.version)
    choosing_s = time.process_time() - choosing_s
    sys.stdout.write(
        f'versions {len(policy.versions)}, replicas '
        f'{sum(version.replicas for version in workload.versions)}\n'
        f'decision {choosing_s / decisions * US_PER_S:.1f} us, '
        f'plan {planning_s * US_PER_S:.0f} us\n'
    )


if __name__ == '__main__':
    fire.Fire(bench)
