"""Play days of a site on the bench and keep a row of each play."""

import asyncio
import hashlib
import itertools
import pathlib
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

import msgspec

from tools.experiment.models import BenchReport, PlayKey, PlayRow, row_of

BENCH_TIMEOUT_S: Final = 900


class BenchError(Exception):
    """A checkout or a file of rows cannot be used."""


class Rows:
    """Rows of plays in a file, one JSON object a line."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self.row_by_key: dict[PlayKey, PlayRow] = {}
        for row in self._read():
            self.row_by_key[row.key] = row

    def add(self, row: PlayRow) -> None:
        """Keep a row and append it to the file."""
        self.row_by_key[row.key] = row
        with self._path.open('ab') as rows_file:
            rows_file.write(msgspec.json.encode(row) + b'\n')

    def of_code(self, code: str, site: str) -> list[PlayRow]:
        """Return the rows of one code on one site."""
        return [
            row
            for row in self.row_by_key.values()
            if (row.code, row.site) == (code, site)
        ]

    def _read(self) -> Iterator[PlayRow]:
        if not self._path.exists():
            return
        for number, line in enumerate(self._path.read_bytes().splitlines(), 1):
            try:
                yield msgspec.json.decode(line, type=PlayRow)
            except msgspec.MsgspecError as error:
                raise BenchError(
                    f'{self._path}, line {number}: {error}'
                ) from error


def code_id(checkout: pathlib.Path) -> str:
    """Return a short hash of a checkout's sources, committed or not.

    The journal that the bench writes there is no source.
    """
    digest = hashlib.sha256()
    for command in (
        ('rev-parse', 'HEAD:marigoldhoist', 'HEAD:deploy'),
        ('diff', 'HEAD', '--', 'marigoldhoist', 'deploy'),
    ):
        finished = subprocess.run(
            ('git', *command), cwd=checkout, capture_output=True, check=False
        )
        if finished.returncode:
            reason = finished.stderr.decode().strip()
            raise BenchError(f'{checkout} is no checkout: {reason}')
        digest.update(finished.stdout)
    return digest.hexdigest()[:10]


class Player:
    """Plays days with a bench program, several at a time."""

    def __init__(
        self, bench: pathlib.Path, site: pathlib.Path, rows: Rows, jobs: int
    ) -> None:
        self._bench = bench.resolve()
        self._site = site.resolve()
        self._rows = rows
        self._free = asyncio.Semaphore(jobs)

    async def play_all(
        self,
        checkouts: Iterable[pathlib.Path],
        days: Sequence[str],
        seeds: Sequence[int],
    ) -> None:
        """Play every day with every seed on every checkout, once."""
        code_by_checkout = {
            checkout: code_id(checkout) for checkout in checkouts
        }
        for checkout in code_by_checkout:
            # Plays that build the same checkout at once disturb each other.
            await self._run(checkout, 'build')
        async with asyncio.TaskGroup() as group:
            for seed, day in itertools.product(seeds, days):
                for checkout, code in code_by_checkout.items():
                    key = PlayKey(code, self._site.stem, day, seed)
                    group.create_task(self._play_once(checkout, key))

    async def _play_once(self, checkout: pathlib.Path, key: PlayKey) -> None:
        if key in self._rows.row_by_key:
            return
        async with self._free:
            row = row_of(key, await self._play(checkout, key))
        self._rows.add(row)
        sys.stderr.write(
            f'{checkout.name} {key.day} seed {key.seed}: '
            f'{row.worth:.3f} {row.problem}\n'
        )

    async def _play(
        self, checkout: pathlib.Path, key: PlayKey
    ) -> BenchReport | None:
        seed = ('--seed', str(key.seed)) if key.seed else ()
        with tempfile.TemporaryDirectory() as folder:
            report = pathlib.Path(folder) / 'report.json'
            await self._run(
                checkout,
                'run',
                str(self._site),
                key.day,
                '--no-cpu',
                '--report',
                str(report),
                *seed,
            )
            if not report.exists():
                return None
            return msgspec.json.decode(report.read_bytes(), type=BenchReport)

    async def _run(self, checkout: pathlib.Path, *arguments: str) -> None:
        """Run the bench in a checkout; end it if it takes too long."""
        process = await asyncio.create_subprocess_exec(
            str(self._bench),
            *arguments,
            cwd=checkout,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            async with asyncio.timeout(BENCH_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
