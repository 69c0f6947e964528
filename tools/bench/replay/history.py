"""Train a learner on past answers, drawn from the true distributions."""

import math
import random

from marigoldhoist.components.quality.cells import (
    CellKey,
    doubt_bin,
    rating_category,
)
from marigoldhoist.components.routing.cascades import CascadePolicy
from marigoldhoist.core.const import MS_PER_S
from tools.bench.replay.learner import MODEL, Learner
from tools.bench.replay.workload import TaskPart, VersionPart, Workload

FIT_ROUNDS = 150
TIMES_PER_VERSION = 300
# Past answers with a higher doubt score were followed by another version.
DOUBT_THRESHOLD = 0.4


def train_on_history(
    workload: Workload, learner: Learner, answers: int, rng: random.Random
) -> None:
    """Train a learner on past requests, then on response times.

    `answers` is the number of first answers. Each version gave an equal share
    of them; a doubtful answer was followed by one of a random costlier
    version.
    """
    history = _HistoryGenerator(workload, learner, rng)
    requests_per_version = answers // len(workload.versions)
    for index, _ in enumerate(workload.versions):
        for task in workload.tasks:
            for _ in range(round(requests_per_version * task.share)):
                history.draw_request(task, index)
    learner.merge_summary()
    learner.policy.estimator.fit(FIT_ROUNDS)
    observe_idle_times(workload, learner.policy, rng)


def observe_idle_times(
    workload: Workload, policy: CascadePolicy, rng: random.Random
) -> None:
    """Let a policy observe the response times of idle replicas."""
    log_tokens = math.log(workload.mean_tokens) - workload.sigma_tokens**2 / 2
    for version in workload.versions:
        first_token_s = version.first_token_ms / MS_PER_S
        for _ in range(TIMES_PER_VERSION):
            tokens = rng.lognormvariate(log_tokens, workload.sigma_tokens)
            total_s = first_token_s + tokens * version.token_ms / MS_PER_S
            policy.times_by_version[version.name].observe(
                first_token_s, total_s
            )


class _HistoryGenerator:
    """Draws past answers and counts them in a learner's cells."""

    def __init__(
        self, workload: Workload, learner: Learner, rng: random.Random
    ) -> None:
        self._workload = workload
        self._learner = learner
        self._rng = rng

    def draw_request(self, task: TaskPart, first_index: int) -> None:
        """Draw a first answer and, if it is doubtful, a costlier one."""
        rng = self._rng
        is_easy = rng.random() < task.easy
        versions = self._workload.versions
        first = versions[first_index]
        doubt = self._draw_answer(task, is_easy, first, '')
        costlier = versions[first_index + 1 :]
        if costlier and doubt > DOUBT_THRESHOLD:
            self._draw_answer(task, is_easy, rng.choice(costlier), first.name)

    def _draw_answer(
        self, task: TaskPart, is_easy: bool, version: VersionPart, previous: str
    ) -> float:
        rng = self._rng
        chance = version.good_if_easy if is_easy else version.good_if_hard
        is_good = rng.random() < chance
        distributions = self._workload.doubt
        doubt = rng.betavariate(
            *(distributions.good if is_good else distributions.bad)
        )
        domain = rng.randrange(self._workload.failure_domains)
        key = CellKey(
            MODEL, task.name, version.name, previous, f'domain-{domain}'
        )
        own_cells = self._learner.own_cells
        own_cells.note(key, doubt_bin(doubt))
        ratings = self._workload.ratings
        if rng.random() < ratings.share:
            is_flipped = rng.random() < ratings.flipped
            own_cells.note(
                key, rating_category(doubt, is_good is not is_flipped)
            )
        return doubt
