"""Rules that find a regression of a new version in the evidence.

A version fails more often or is slower than its baseline if the likelihood
ratio of a fault is above a limit, for all answers or for those of one route.
Each route has its own baseline, as one route may fail more often by nature than
another.
"""

import math
from collections.abc import Iterator
from typing import Final

import msgspec

from marigoldhoist.components.canary.const import MIN_RECENT_S
from marigoldhoist.components.canary.evidence import (
    Evidence,
    GroupCounts,
    Measure,
    SampleGroup,
    pool_evidence,
)
from marigoldhoist.components.canary.failure_ratio import (
    FailureOutcomes,
    failures_by_route,
)
from marigoldhoist.components.canary.likelihood import (
    slow_answers,
)

# Log likelihood ratios of a fault above which a version is bad, so that fewer
# than 1 in 200 healthy versions are. Recent answers find a version that turns
# bad after many good answers; they begin anew again and again, so their limit
# is higher.
MIN_LOG_RATIO: Final = 6.0
MIN_RECENT_LOG_RATIO: Final = 10.5
MIN_SLOW_LOG_RATIO: Final = math.log(200)
# Minimum number of slow answers of a slow version, in all groups together
# or in a single one.
MIN_SLOW: Final = 3
MIN_SLOW_IN_GROUP: Final = 5


def regression_reason(
    evidence: Evidence, recent_s: float = MIN_RECENT_S
) -> str:
    """Return why a version is bad, or an empty string if it is not.

    Answers of the last `recent_s` seconds are recent.
    """
    return next(_regression_reasons(evidence, recent_s), '')


def _regression_reasons(evidence: Evidence, recent_s: float) -> Iterator[str]:
    starts = [
        counts for counts in evidence if counts.group.measure is Measure.START
    ]
    yield from _failure_reasons(failures_by_route(starts), MIN_LOG_RATIO)
    yield from _failure_reasons(
        failures_by_route(starts, recent_s), MIN_RECENT_LOG_RATIO
    )
    yield from _slow_reasons(evidence, MIN_SLOW_LOG_RATIO)
    recent = [counts.with_recent_latencies() for counts in evidence]
    yield from _slow_reasons(recent, MIN_RECENT_LOG_RATIO)


def _failure_reasons(
    outcomes_by_route: dict[str, FailureOutcomes], min_log_ratio: float
) -> Iterator[str]:
    """Yield texts for all answers and for each route that are too bad."""
    log_ratio = sum(
        outcomes.log_likelihood_ratio for outcomes in outcomes_by_route.values()
    )
    if log_ratio >= min_log_ratio:
        failures = sum(outcomes.bad for outcomes in outcomes_by_route.values())
        answers = sum(outcomes.total for outcomes in outcomes_by_route.values())
        yield _failure_text(failures, answers, log_ratio)
    for route, outcomes in outcomes_by_route.items():
        log_ratio = outcomes.log_likelihood_ratio
        if log_ratio >= min_log_ratio:
            text = _failure_text(outcomes.bad, outcomes.total, log_ratio)
            yield f'{text} on {route}'


def _failure_text(failures: int, answers: int, log_ratio: float) -> str:
    return f'{failures} of {answers} answers failed (log ratio {log_ratio:.1f})'


def _slow_reasons(evidence: Evidence, min_log_ratio: float) -> Iterator[str]:
    """Yield texts for each group and for all answers that are too slow."""
    for counts in evidence:
        if _is_slow(counts, MIN_SLOW_IN_GROUP, min_log_ratio):
            yield f'{_slow_text(counts)} on {counts.group.request_class}'
    for counts in _by_measure(evidence):
        if _is_slow(counts, MIN_SLOW, min_log_ratio):
            yield _slow_text(counts)


def _slow_text(counts: GroupCounts) -> str:
    return (
        f'{counts.slow} of {counts.compared} answers slow'
        f' ({counts.group.measure.value})'
    )


def _by_measure(evidence: Evidence) -> Evidence:
    """Return the counts summed over all request classes, by latency."""
    return pool_evidence(
        [
            msgspec.structs.replace(
                counts, group=SampleGroup('', counts.group.measure)
            )
        ]
        for counts in evidence
    )


def _is_slow(counts: GroupCounts, min_slow: int, min_log_ratio: float) -> bool:
    return (
        counts.slow >= min_slow
        and counts.is_slow_persistently
        and counts.slow > counts.compared * counts.slow_share_limit
        and slow_answers([counts]).log_likelihood_ratio >= min_log_ratio
    )
