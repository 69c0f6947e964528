"""Compare checkouts on days of a site of the users' bench."""

import asyncio
import pathlib
import sys
from collections.abc import Sequence
from typing import Final

import fire

from tools.experiment.comparison import Difference, differences
from tools.experiment.models import PlayRow
from tools.experiment.plays import BenchError, Player, Rows, code_id

EXIT_UNUSABLE: Final = 2
DEFAULT_JOBS: Final = 4


class Experiment:
    """Compare checkouts on days of a site, the first one being the base.

    BENCH is the bench's program. DAYS and SEEDS are separated by commas; the
    seed 0 is the day's own. Plays that the file ROWS already holds for the
    same sources are not repeated. JOBS plays run at a time.
    """

    def __init__(
        self,
        bench: str,
        days: str,
        seeds: str,
        rows: str,
        jobs: int = DEFAULT_JOBS,
    ) -> None:
        self._bench = pathlib.Path(bench)
        self._days = _split(days)
        self._seeds = [int(seed) for seed in _split(seeds)]
        self._rows_path = pathlib.Path(rows)
        self._jobs = jobs

    def compare(self, site: str, *checkouts: str) -> None:
        """Play the days of a site on checkouts and print the differences."""
        folders = [pathlib.Path(checkout).resolve() for checkout in checkouts]
        try:
            rows_by_name = self._play(pathlib.Path(site), folders)
        except BenchError as error:
            sys.stderr.write(f'{error}\n')
            sys.exit(EXIT_UNUSABLE)
        _print(rows_by_name, self._days)

    def _play(
        self, site: pathlib.Path, folders: Sequence[pathlib.Path]
    ) -> dict[str, list[PlayRow]]:
        """Return the rows of each checkout by the name of its folder."""
        kept = Rows(self._rows_path)
        player = Player(self._bench, site, kept, self._jobs)
        asyncio.run(player.play_all(folders, self._days, self._seeds))
        return {
            folder.name: [
                row
                for row in kept.of_code(code_id(folder), site.stem)
                if row.seed in self._seeds and row.day in self._days
            ]
            for folder in folders
        }


def _split(listed: object) -> list[str]:
    """Return the items of a list that fire may have parsed already."""
    if isinstance(listed, list | tuple):
        return [str(item) for item in listed]
    return str(listed).split(',')


def _print(rows_by_name: dict[str, list[PlayRow]], days: Sequence[str]) -> None:
    base_name, *variant_names = rows_by_name
    for name, rows in rows_by_name.items():
        for row in rows:
            if row.problem:
                print(f'{name} {row.day} seed {row.seed}: {row.problem}')
    for name in variant_names or [base_name]:
        print(f'{name} against {base_name}')
        for difference in differences(
            rows_by_name[base_name], rows_by_name[name], days
        ):
            print(f'  {_format(difference)}')


def _format(difference: Difference) -> str:
    moved = ', '.join(
        f'{term} {change:+.4f}'
        for term, change in difference.moved_by_term.items()
    )
    return (
        f'{difference.label}: {difference.base:.3f} '
        f'{difference.mean:+.4f} ± {difference.standard_error:.4f} '
        f'({difference.pairs} pairs); {moved}'
    )


if __name__ == '__main__':
    fire.Fire(Experiment)
