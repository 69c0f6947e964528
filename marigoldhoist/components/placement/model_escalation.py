"""Choose a model's size, and whether a doubtful answer is asked for again.

Answers the load of a route that several models can serve: the smallest model
suffices for many requests and costs a fraction of the largest, and its own
opinion of the answer is known before anything is delivered.
"""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Final

# Below this opinion of itself, 0 to 100, an answer is asked for again; by the
# route's priority, as urgent requests are worth more of a large model's time.
CONFIDENCE_BY_PRIORITY: Final = (60, 55, 40)
# Of the time to the first event that is left, a larger model may be expected
# to take this share.
TIME_SHARE: Final = 0.9
# Requests per slot above which nothing is asked for again.
BUSY: Final = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class EscalationContext:
    """An answer that may be dropped, and what dropping it depends on.

    `remaining_s` is what is left of the objective, `load` the mean requests per
    slot at the replicas of the service. `expected_s` takes a model and
    returns the seconds to its first event, none where they are unknown.
    """

    confidence: int | None
    priority: int
    remaining_s: float
    load: float
    attempts_left: int
    expected_s: Callable[[str], float | None]


def first_model(models: Sequence[str]) -> str:
    """Return the model to ask first, empty where callers name one."""
    return models[0] if models else ''


def choose_larger_model(
    models: Sequence[str], asked: str, doubt: EscalationContext
) -> str:
    """Return the model to ask instead, empty to keep the answer."""
    if asked not in models or doubt.confidence is None:
        return ''
    if doubt.attempts_left < 1 or doubt.load > BUSY:
        return ''
    rank = min(max(0, doubt.priority), len(CONFIDENCE_BY_PRIORITY) - 1)
    if doubt.confidence >= CONFIDENCE_BY_PRIORITY[rank]:
        return ''
    larger = models[models.index(asked) + 1 :]
    return next(
        (model for model in reversed(larger) if _is_in_time(model, doubt)), ''
    )


def _is_in_time(model: str, doubt: EscalationContext) -> bool:
    expected_s = doubt.expected_s(model)
    if expected_s is None:
        return doubt.remaining_s > 0
    return expected_s < TIME_SHARE * doubt.remaining_s
