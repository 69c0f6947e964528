"""Counts of what answers were like, as daemons share them."""

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
    """Which answers a cell counts.

    `after` is the version whose doubtful answer led to this one, or empty.
    """

    model: str
    task: str
    version: str
    after: str = ''
    failure_domain: str = ''


class Cell(msgspec.Struct, frozen=True):
    """One cell's counts since its daemon started."""

    key: CellKey
    counts: tuple[int, ...]


class Summary(msgspec.Struct, frozen=True):
    """Cells of one daemon; the incarnation changes when it restarts."""

    incarnation: str
    cells: tuple[Cell, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """New answers of one cell, by category."""

    key: CellKey
    counts: tuple[int, ...]


def doubt_bin(doubt: float) -> int:
    """Return the category of an answer's doubt, a number in 0..1."""
    return min(BINS - 1, max(0, int(doubt * BINS)))


def rating_category(doubt: float, is_good: bool) -> int:
    """Return the category of a rating, which is kept with the doubt."""
    first = RATED_GOOD if is_good else RATED_BAD
    return first + doubt_bin(doubt)


class OwnCells:
    """Counts of this daemon's answers since it started."""

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
        """Return the cells, or only those changed since the last call."""
        counts_by_key = self._counts_by_key
        keys = list(counts_by_key) if is_full else list(self._changed)
        self._changed.clear()
        cells = tuple(Cell(key, tuple(counts_by_key[key])) for key in keys)
        return Summary(self._incarnation, cells)


class SummaryMerger:
    """Turns the daemons' summaries into observations, each made once.

    A summary replaces the last one of the same daemon, so that one that is
    lost, repeated or late changes nothing but the time of the observation.
    """

    def __init__(self) -> None:
        self._seen_by_host: dict[str, dict[CellKey, tuple[int, ...]]] = {}
        self._incarnation_by_host: dict[str, str] = {}

    def merge(self, host: str, summary: Summary) -> list[Observation]:
        """Return what the summary adds to the last one of that host."""
        if self._incarnation_by_host.get(host) != summary.incarnation:
            self._incarnation_by_host[host] = summary.incarnation
            self._seen_by_host[host] = {}
        seen = self._seen_by_host[host]
        observed = [
            Observation(cell.key, new)
            for cell in summary.cells
            if any(new := _growth(seen.get(cell.key), cell.counts))
        ]
        for cell in summary.cells:
            before = seen.get(cell.key, cell.counts)
            seen[cell.key] = tuple(map(max, before, cell.counts))
        return observed


def add_counts(total: Counts, new: tuple[int, ...]) -> None:
    """Add new counts, and let old ones fade once there are many."""
    answers = sum(total[:BINS])
    fade = min(1, MEMORY_ANSWERS / (answers + 1))
    for category, count in enumerate(new):
        total[category] = total[category] * fade + count


def _growth(
    before: tuple[int, ...] | None, after: tuple[int, ...]
) -> tuple[int, ...]:
    if before is None:
        return after
    return tuple(
        max(0, new - old) for old, new in zip(before, after, strict=False)
    )
