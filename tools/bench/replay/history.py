"""Give a learner the answers of past hours, drawn from the true laws."""

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
TIMES = 300
DOUBTFUL = 0.4


def recall(
    workload: Workload, learner: Learner, answers: int, rng: random.Random
) -> None:
    """Let the learner know that many past answers, spread over versions.

    Each version was tried first equally often, and doubtful answers were
    followed by any dearer version.
    """
    past = _Past(workload, learner, rng)
    each = answers // len(workload.versions)
    for rank, _ in enumerate(workload.versions):
        for task in workload.tasks:
            for _ in range(round(each * task.share)):
                past.request(task, rank)
    learner.share()
    learner.policy.estimator.fit(FIT_ROUNDS)
    recall_times(workload, learner.policy, rng)


def recall_times(
    workload: Workload, policy: CascadePolicy, rng: random.Random
) -> None:
    """Let a policy know how long answers take on idle replicas."""
    log_tokens = math.log(workload.mean_tokens) - workload.sigma_tokens**2 / 2
    for version in workload.versions:
        first_s = version.first_token_ms / MS_PER_S
        for _ in range(TIMES):
            tokens = rng.lognormvariate(log_tokens, workload.sigma_tokens)
            whole_s = first_s + tokens * version.token_ms / MS_PER_S
            policy.times_by_version[version.name].observe(first_s, whole_s)


class _Past:
    """Draws past answers into a learner's cells."""

    def __init__(
        self, workload: Workload, learner: Learner, rng: random.Random
    ) -> None:
        self._workload = workload
        self._learner = learner
        self._rng = rng

    def request(self, task: TaskPart, rank: int) -> None:
        """Answer one request, and a doubtful one by a dearer version."""
        rng = self._rng
        is_easy = rng.random() < task.easy
        versions = self._workload.versions
        first = versions[rank]
        doubt = self._answer(task, is_easy, first, '')
        dearer = versions[rank + 1 :]
        if dearer and doubt > DOUBTFUL:
            self._answer(task, is_easy, rng.choice(dearer), first.name)

    def _answer(
        self, task: TaskPart, is_easy: bool, version: VersionPart, after: str
    ) -> float:
        rng = self._rng
        chance = version.good_if_easy if is_easy else version.good_if_hard
        is_good = rng.random() < chance
        laws = self._workload.doubt
        doubt = rng.betavariate(*(laws.good if is_good else laws.bad))
        number = rng.randrange(self._workload.failure_domains)
        key = CellKey(MODEL, task.name, version.name, after, f'domain-{number}')
        own = self._learner.own
        own.note(key, doubt_bin(doubt))
        ratings = self._workload.ratings
        if rng.random() < ratings.share:
            is_flipped = rng.random() < ratings.flipped
            own.note(key, rating_category(doubt, is_good is not is_flipped))
        return doubt
