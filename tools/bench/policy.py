"""Compare routing policies on replayed workloads: `script/bench policy`."""

import dataclasses
import pathlib
import statistics
import sys
from collections.abc import Iterator

import fire
import msgspec

from marigoldhoist.core.errors import SettingsError
from tools.bench.replay.rows import BenchRow, spread
from tools.bench.replay.suite import REQUESTS, Suite
from tools.bench.replay.workload import WORKLOAD_FOLDER, Workload, load_workload

SHIPPED_WORKLOADS = ('zagreb', 'kigali', 'target')
HEADINGS = (
    'workload scenario       policy         cost/good quality at tgt   p50 s'
    '   p95 s   p99 s  gap95  good/s refused  retry   bad  delay false/d'
)


@dataclasses.dataclass(frozen=True, slots=True)
class SeedGroup:
    """The rows of one scenario and policy, one for each seed."""

    rows: tuple[BenchRow, ...]

    def line(self) -> str:
        """Format the means over the seeds; the cost with its deviation."""
        first = self.rows[0]
        costs = [row.cost_per_good for row in self.rows]
        cost = f'{statistics.mean(costs):.3f}±{spread(costs):.3f}'
        return (
            f'{first.workload:8}{first.scenario:15}{first.policy:12}{cost:>12}'
            f'{self._mean("quality"):8.3f}{self._mean("at_target"):7.2f}'
            f'{self._mean("first_p50_s"):8.3f}{self._mean("first_p95_s"):8.3f}'
            f'{self._mean("first_p99_s"):8.3f}{self._mean("gap_p95_s"):7.3f}'
            f'{self._mean("goodput_per_s"):8.2f}'
            f'{self._mean("refused_share"):8.3f}'
            f'{self._mean("retries_per_request"):7.3f}'
            f'{self._mean("bad_answers"):6.0f}{self._mean_detection():>7}'
            f'{self._mean("false_alarms_per_day"):8.1f}'
        )

    def _mean(self, column: str) -> float:
        total: float = sum(getattr(row, column) for row in self.rows)
        return total / len(self.rows)

    def _mean_detection(self) -> str:
        detections_s = [
            row.detection_s for row in self.rows if row.detection_s is not None
        ]
        return f'{statistics.mean(detections_s):.0f}' if detections_s else '-'


def bench(
    workload: str = '',
    seed: int = 1,
    seeds: int = 1,
    json: bool = False,
    scenario: str = '',
    requests: int = REQUESTS,
) -> None:
    """Replay a workload file, or all shipped ones, with one or more seeds."""
    try:
        workloads = _workloads(workload)
    except SettingsError as error:
        sys.exit(f'{error}')
    suites = [
        Suite(loaded, suite_seed, requests)
        for loaded in workloads
        for suite_seed in range(seed, seed + seeds)
    ]
    if json:
        for row in _rows(suites, scenario):
            line = msgspec.json.encode(row).decode()
            sys.stdout.write(f'{line}\n')
        return
    _print_table(list(_rows(suites, scenario)))


def _workloads(path: str) -> list[Workload]:
    if path:
        return [load_workload(pathlib.Path(path))]
    return [
        load_workload(WORKLOAD_FOLDER / f'{name}.json')
        for name in SHIPPED_WORKLOADS
    ]


def _rows(suites: list[Suite], scenario: str) -> Iterator[BenchRow]:
    for suite in suites:
        yield from suite.rows(scenario)


def _print_table(rows: list[BenchRow]) -> None:
    rows_by_key: dict[tuple[str, str, str], list[BenchRow]] = {}
    for row in rows:
        key = (row.workload, row.scenario, row.policy)
        rows_by_key.setdefault(key, []).append(row)
    sys.stdout.write(f'{HEADINGS}\n')
    for group in rows_by_key.values():
        sys.stdout.write(f'{SeedGroup(tuple(group)).line()}\n')


if __name__ == '__main__':
    fire.Fire(bench)
