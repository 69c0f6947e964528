"""Processor time of a decision at the target size: `script/bench decision`."""

import random
import sys
import time

import fire

from tools.bench.replay.clockwork import Clockwork
from tools.bench.replay.contenders import OurContender, costs
from tools.bench.replay.fleet import Fleet
from tools.bench.replay.history import recall, recall_times
from tools.bench.replay.learner import new_learner
from tools.bench.replay.stream import make_stream
from tools.bench.replay.workload import FOLDER, load_workload

PAST_ANSWERS = 30_000
US_PER_S = 1_000_000


def bench(decisions: int = 5000, seed: int = 1) -> None:
    """Print the microseconds for a first choice, its replica included."""
    workload = load_workload(FOLDER / 'target.json')
    rng = random.Random(seed)
    policy = OurContender(costs(workload), rng)
    domains = {version.name: 1 for version in workload.versions}
    recall(workload, new_learner(policy, domains), PAST_ANSWERS, rng)
    recall_times(workload, policy, rng)
    clockwork = Clockwork()
    fleet = Fleet(workload, clockwork, policy, rng)
    clockwork.run_until(workload.report_age_s * 3)
    stream = make_stream(workload, 1, decisions, seed)
    for request in stream:
        policy.choose(request.ask, fleet.wait_s)
    planned_s = time.process_time()
    policy.replan(policy.versions)
    planned_s = time.process_time() - planned_s
    chosen_s = time.process_time()
    for asked in stream:
        fleet.forget_picks()
        choice = policy.choose(asked.ask, fleet.wait_s)
        if choice is not None:
            fleet.pick(choice.version)
    chosen_s = time.process_time() - chosen_s
    sys.stdout.write(
        f'versions {len(policy.versions)}, replicas '
        f'{sum(version.replicas for version in workload.versions)}\n'
        f'decision {chosen_s / decisions * US_PER_S:.1f} us, '
        f'plan {planned_s * US_PER_S:.0f} us\n'
    )


if __name__ == '__main__':
    fire.Fire(bench)
