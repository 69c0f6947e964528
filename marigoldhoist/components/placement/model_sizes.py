"""Choose a model's size, and whether a doubtful answer is asked for again.

Answers the load of a route that several models can serve: the smallest model
suffices for many requests and costs a fraction of the largest, and its own
opinion of the answer is known before anything is delivered.
"""

import dataclasses
from collections.abc import Sequence
from typing import Final

# Below this opinion of itself, 0 to 100, an answer is asked for again; by the
# route's priority, as urgent requests are worth more of a large model's time.
CONFIDENCE_BY_PRIORITY: Final = (60, 55, 40)
# A larger model is asked only while this share of the time to the first event
# that is aimed at is left.
LEAST_TIME_SHARE: Final = 0.35
# Requests per slot above which nothing is asked for again.
BUSY: Final = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Doubt:
    """An answer that may be dropped, and what dropping it depends on.

    `time_share_left` is the part of the objective that is left, `load` the
    mean requests per slot at the replicas of the service.
    """

    confidence: int | None
    priority: int
    time_share_left: float
    load: float
    attempts_left: int


def first_model(models: Sequence[str]) -> str:
    """Return the model to ask first, empty where callers name one."""
    return models[0] if models else ''


def larger_model(models: Sequence[str], asked: str, doubt: Doubt) -> str:
    """Return the model to ask instead, empty to keep the answer."""
    if len(models) < 2 or asked == models[-1] or doubt.confidence is None:
        return ''
    if doubt.attempts_left < 1 or doubt.load > BUSY:
        return ''
    if doubt.time_share_left < LEAST_TIME_SHARE:
        return ''
    rank = min(max(0, doubt.priority), len(CONFIDENCE_BY_PRIORITY) - 1)
    if doubt.confidence >= CONFIDENCE_BY_PRIORITY[rank]:
        return ''
    return models[-1]
