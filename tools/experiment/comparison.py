"""Paired differences between checkouts, by day."""

import collections
import dataclasses
import math
import statistics
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

from tools.experiment.models import PlayRow

# Terms of the worth that are shown with a difference.
MAX_TERMS: Final = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """The mean difference of paired plays and its standard error.

    Both are NaN with too few pairs. `moved_by_term` holds the mean differences
    of the terms that moved most.
    """

    label: str
    base: float
    mean: float
    standard_error: float
    pairs: int
    moved_by_term: dict[str, float]


def differences(
    base: Iterable[PlayRow], variant: Iterable[PlayRow], days: Sequence[str]
) -> Iterator[Difference]:
    """Yield the difference of each day, then that of all days together.

    Plays pair by day and seed; those with a problem are left out.
    """
    base_by_play = {(row.day, row.seed): row for row in base if not row.problem}
    pairs = [
        (base_by_play[row.day, row.seed], row)
        for row in variant
        if not row.problem and (row.day, row.seed) in base_by_play
    ]
    for day in days:
        yield _difference(day, [pair for pair in pairs if pair[0].day == day])
    yield _difference('all days', pairs)


def _difference(
    label: str, pairs: Sequence[tuple[PlayRow, PlayRow]]
) -> Difference:
    worths = [after.worth - before.worth for before, after in pairs]
    count = len(pairs)
    error = math.nan
    if count > 1:
        error = statistics.stdev(worths) / math.sqrt(count)
    return Difference(
        label,
        statistics.fmean(before.worth for before, _ in pairs)
        if pairs
        else math.nan,
        statistics.fmean(worths) if pairs else math.nan,
        error,
        count,
        _moved_terms(pairs),
    )


def _moved_terms(
    pairs: Sequence[tuple[PlayRow, PlayRow]],
) -> dict[str, float]:
    change_by_term: collections.defaultdict[str, float]
    change_by_term = collections.defaultdict(float)
    for before, after in pairs:
        for term, share in after.terms.items():
            change_by_term[term] += share / len(pairs)
        for term, share in before.terms.items():
            change_by_term[term] -= share / len(pairs)
    ranked = sorted(
        change_by_term.items(), key=lambda changed: -abs(changed[1])
    )
    return dict(ranked[:MAX_TERMS])
