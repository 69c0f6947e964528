"""Count answers by category and exchange the counts between daemons.

A cell holds the counts of one model, task, version, preceding version and
failure domain.
"""

import dataclasses

import msgspec

from marigoldhoist.components.quality.const import (
    BINS,
    CATEGORIES,
    MEMORY_ANSWERS,
    RATED_BAD,
    RATED_GOOD,
)

Counts = list[float]
ZERO_COUNTS = tuple(0 for _ in range(CATEGORIES))


class CellKey(msgspec.Struct, frozen=True):
    """Identifies the answers that a cell counts.

    `after` is the version whose doubtful answer was escalated to this one,
    empty for a first answer.
    """

    model: str
    task: str
    version: str
    after: str = ''
    failure_domain: str = ''


class Cell(msgspec.Struct, frozen=True):
    """A cell's counts by category since its daemon started."""

    key: CellKey
    counts: tuple[int, ...]


class Summary(msgspec.Struct, frozen=True):
    """Cells of one daemon.

    The incarnation identifies the daemon's process and changes on a restart.
    """

    incarnation: str
    cells: tuple[Cell, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Counts by category of new answers and ratings in one cell."""

    key: CellKey
    counts: tuple[int, ...]


def doubt_bin(doubt: float) -> int:
    """Return the category of a doubt score in 0..1."""
    return min(BINS - 1, max(0, int(doubt * BINS)))


def rating_category(doubt: float, is_good: bool) -> int:
    """Return the category of a rating of an answer with a doubt score."""
    first = RATED_GOOD if is_good else RATED_BAD
    return first + doubt_bin(doubt)


class OwnCells:
    """Counts this daemon's answers since it started."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._counts_by_key: dict[CellKey, list[int]] = {}
        self._changed: set[CellKey] = set()

    def note(self, key: CellKey, category: int) -> None:
        """Count one answer or rating."""
        counts = self._counts_by_key.get(key)
        if counts is None:
            counts = list(ZERO_COUNTS)
            self._counts_by_key[key] = counts
        counts[category] += 1
        self._changed.add(key)

    def summary(self, is_full: bool = True) -> Summary:
        """Return all cells, or only those changed since the last call."""
        counts_by_key = self._counts_by_key
        keys = list(counts_by_key) if is_full else list(self._changed)
        self._changed.clear()
        cells = tuple(Cell(key, tuple(counts_by_key[key])) for key in keys)
        return Summary(self._incarnation, cells)


class SummaryMerger:
    """Turns cumulative summaries of daemons into observations.

    Each observation is the increase over the counts seen so far, so a lost,
    repeated or late summary only changes the time of an observation.
    """

    def __init__(self) -> None:
        self._counts_by_host: dict[str, dict[CellKey, tuple[int, ...]]] = {}
        self._incarnation_by_host: dict[str, str] = {}

    def merge(self, host: str, summary: Summary) -> list[Observation]:
        """Return the increases over the counts seen so far of a host."""
        if self._incarnation_by_host.get(host) != summary.incarnation:
            self._incarnation_by_host[host] = summary.incarnation
            self._counts_by_host[host] = {}
        seen = self._counts_by_host[host]
        observed = [
            Observation(cell.key, new)
            for cell in summary.cells
            if any(new := _increase(seen.get(cell.key), cell.counts))
        ]
        for cell in summary.cells:
            before = seen.get(cell.key, cell.counts)
            seen[cell.key] = tuple(map(max, before, cell.counts))
        return observed


def add_counts(total: Counts, new: tuple[int, ...]) -> None:
    """Add new counts to a total.

    Old counts are discounted beyond `MEMORY_ANSWERS` answers.
    """
    answers = sum(total[:BINS])
    discount = min(1, MEMORY_ANSWERS / (answers + 1))
    for category, count in enumerate(new):
        total[category] = total[category] * discount + count


def _increase(
    before: tuple[int, ...] | None, after: tuple[int, ...]
) -> tuple[int, ...]:
    if before is None:
        return after
    return tuple(
        max(0, new - old) for old, new in zip(before, after, strict=False)
    )
