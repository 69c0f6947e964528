"""Plays of the bench and what they were worth."""

import dataclasses
from typing import Final

import msgspec

# Prices at least this high are compared by name; the others are noise.
MIN_PRICE: Final = 0.0005


@dataclasses.dataclass(frozen=True, slots=True)
class PlayKey:
    """What was played: the code, the site, a day and its seed.

    `code` identifies the sources of a checkout, committed or not. The seed 0
    stands for the day's own.
    """

    code: str
    site: str
    day: str
    seed: int


class BenchWindow(msgspec.Struct, frozen=True):
    """A span of a play by the second at which it begins.

    `worth` is the share earned of what its requests were worth.
    """

    name: str
    requests: int = msgspec.field(name='n', default=0)
    not_owed: int = 0
    worth: float | None = None

    @property
    def lost_requests(self) -> float:
        """Return the worth that was not earned, in mean requests."""
        if self.worth is None:
            return 0
        return (1 - self.worth) * (self.requests - self.not_owed)


class BenchReport(msgspec.Struct, frozen=True):
    """The part of the bench's report on one play that is compared.

    `parts` are rows of name, weight and share earned, `prices` rows of name,
    amount and share of the worth owed.
    """

    worth: float = msgspec.field(name='G')
    breaks: dict[str, object] = {}
    fault: object = None
    parts: list[tuple[str, float, float | None]] = []
    prices: list[tuple[str, float, float]] = []
    windows: list[BenchWindow] = []

    @property
    def is_sound(self) -> bool:
        """Return whether no rule was broken and no process failed."""
        return not self.breaks and not self.fault


class PlayRow(msgspec.Struct, frozen=True):
    """One play as it is kept in a file of rows.

    `lost_by_window` is in mean requests, by the second a window begins.
    """

    code: str
    site: str
    day: str
    seed: int
    worth: float
    problem: str = ''
    terms: dict[str, float] = {}
    lost_by_window: dict[str, float] = {}

    @property
    def key(self) -> PlayKey:
        """Return what was played."""
        return PlayKey(self.code, self.site, self.day, self.seed)


def row_of(key: PlayKey, report: BenchReport | None) -> PlayRow:
    """Return the row to keep of a play, also of one without a report."""
    if report is None:
        return PlayRow(
            key.code, key.site, key.day, key.seed, 0, 'no report was written'
        )
    problem = '' if report.is_sound else f'{report.breaks} {report.fault or ""}'
    terms = {name: share or 0 for name, _, share in report.parts}
    for name, _, price in report.prices:
        if price >= MIN_PRICE:
            terms[f'price of {name}'] = price
    return PlayRow(
        key.code,
        key.site,
        key.day,
        key.seed,
        report.worth,
        problem.strip(),
        terms,
        {window.name: window.lost_requests for window in report.windows},
    )
