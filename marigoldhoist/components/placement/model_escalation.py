"""Decide whether to discard an answer and escalate to a larger model.

Applies to routes that several models can serve. The smallest model suffices
for many requests and costs a fraction of the largest, and it reports its
confidence in the answer before anything is delivered to the caller.
"""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Final

# An answer with a lower confidence, from 0 to 100, is discarded. Indexed by
# the priority of the route: urgent requests, which have the lowest numbers,
# justify more time of a large model.
MIN_CONFIDENCE_BY_PRIORITY: Final = (60, 55, 40)
# Share by which a lasting delay of a second lowers these limits, in proportion,
# and the largest share by which any delay does.
REDUCTION_PER_S: Final = 1.0
MAX_REDUCTION: Final = 0.25
# A request is escalated to a larger model only if the expected time to its
# first event is below this share of the time that remains.
MAX_TIME_SHARE: Final = 0.9
# Mean requests per slot above which no answer is discarded.
MAX_LOAD: Final = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class MeanDelays:
    """How long other prompts delay a request at the replicas, in seconds.

    `present_s` is the delay now, `lasting_s` its mean over several seconds.
    """

    present_s: float = 0
    lasting_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EscalationContext:
    """The inputs of the decision whether to discard an answer.

    `confidence` is the model's own, from 0 to 100, or None if it reported
    none. `remaining_s` is the rest of the time to the first event that the
    route aims at, `load` the mean requests per slot at the replicas of the
    service. `expected_s` takes a model and returns the expected seconds to its
    first event on an idle replica, or None if unknown.
    """

    confidence: int | None
    priority: int
    remaining_s: float
    load: float
    attempts_left: int
    expected_s: Callable[[str], float | None]
    delays: MeanDelays = MeanDelays()


def first_model(models: Sequence[str]) -> str:
    """Return the first model to use, empty if the caller names the model."""
    return models[0] if models else ''


def choose_larger_model(
    models: Sequence[str], current: str, context: EscalationContext
) -> str:
    """Return the larger model to escalate to, empty to keep the answer."""
    if current not in models or context.confidence is None:
        return ''
    if context.attempts_left < 1 or context.load > MAX_LOAD:
        return ''
    if context.confidence >= _min_confidence(context):
        return ''
    larger = models[models.index(current) + 1 :]
    return next(
        (model for model in reversed(larger) if _is_in_time(model, context)),
        '',
    )


def _min_confidence(context: EscalationContext) -> float:
    """Return the confidence below which an answer is discarded.

    Each discarded answer is one more prompt before those of other requests, so
    it has to be worth more while they are delayed for a longer time.
    """
    rank = min(max(0, context.priority), len(MIN_CONFIDENCE_BY_PRIORITY) - 1)
    reduction = min(MAX_REDUCTION, REDUCTION_PER_S * context.delays.lasting_s)
    return MIN_CONFIDENCE_BY_PRIORITY[rank] * (1 - reduction)


def _is_in_time(model: str, context: EscalationContext) -> bool:
    expected_s = context.expected_s(model)
    delay_s = context.delays.present_s
    if expected_s is None:
        return context.remaining_s > delay_s
    return expected_s + delay_s < MAX_TIME_SHARE * context.remaining_s
