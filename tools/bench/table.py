"""Measure the state of the table: `script/bench table`.

Prints the cost of folds and of a start from a snapshot at three sizes of the
table and the slopes between them, and the time from an append until the last
daemon has the change, with and without a daemon that cannot reach the log.
"""

import dataclasses
import gc
import itertools
import logging
import time
import tracemalloc
from collections.abc import Iterator
from typing import Any, Final

import structlog

from marigoldhoist.components.platform_log.const import TABLE_STREAM
from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.components.platform_log.models import (
    LogEntry,
    Record,
    new_record,
)
from marigoldhoist.components.snapshots.chunks import ChunkAssembler, split_dump
from marigoldhoist.components.table.const import CHANGE_KIND
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.fold import TableFold
from marigoldhoist.components.table.service import TableService
from tools.standins.log import LogFaults
from tools.world.samples import make_table_change
from tools.world.world import World, wait_until

SIZES_ROWS: Final = (300, 1000, 3000)
CHANGES: Final = 100
SKIPPED_RECORDS: Final = 20_000
PROPAGATED_CHANGES: Final = 40
POLL_S: Final = 0.0005
MS_PER_S: Final = 1000
DOMAINS: Final = ('zg-trnje', 'zg-dubrava', 'zg-susedgrad')


@dataclasses.dataclass(frozen=True, slots=True)
class SizeResult:
    """The costs of a table of one size."""

    rows: int
    change_ms: float
    snapshot_kb: float
    start_ms: float
    memory_kb: float


class TableReplica:
    """The feed and table fold of a daemon, without its services."""

    def __init__(self) -> None:
        self.feed = Feed(TABLE_STREAM)
        self.fold = TableFold()
        self.feed.add_fold(self.fold.apply)
        self.feed.add_part(TABLE, self.fold.dump, self.fold.restore)

    def offer(self, records: list[Record]) -> float:
        """Fold records and return the elapsed seconds."""
        offset = self.feed.next_offset
        entries = [
            LogEntry(offset + number, 1, record)
            for number, record in enumerate(records)
        ]
        started_s = time.perf_counter()
        self.feed.offer(entries)
        return time.perf_counter() - started_s


def main() -> None:
    """Run and print all measurements."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    print(f'skipped: {skipped_records_per_s():.0f} records/s')
    results = [measure(rows) for rows in SIZES_ROWS]
    for result in results:
        print(
            f'{result.rows} rows: {result.change_ms:.2f} ms per change,'
            f' snapshot {result.snapshot_kb:.1f} kB,'
            f' start {result.start_ms:.1f} ms,'
            f' memory {result.memory_kb:.0f} kB'
        )
    for smaller, larger in itertools.pairwise(results):
        print_slope(smaller, larger)
    for line in propagation_lines():
        print(line)


def skipped_records_per_s() -> float:
    """Return the records/s of a kind that the table fold ignores."""
    record = new_record('other', None)
    return SKIPPED_RECORDS / TableReplica().offer(
        [record for _ in range(SKIPPED_RECORDS)]
    )


def measure(rows: int) -> SizeResult:
    """Measure folds into a table of a size and starts from its snapshot."""
    replica = TableReplica()
    replica.offer(
        [new_record(CHANGE_KIND, make_table_change(table_rows(rows)))]
    )
    changes = [
        new_record(
            CHANGE_KIND, make_table_change({f'service/new-{number}': {}})
        )
        for number in range(CHANGES)
    ]
    change_s = replica.offer(changes) / CHANGES
    snapshot = split_dump(replica.feed.dump())
    gc.collect()
    tracemalloc.start()
    first = restore_replica(snapshot)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started_s = time.perf_counter()
    second = restore_replica(snapshot)
    start_s = time.perf_counter() - started_s
    if not first.feed.dump() == second.feed.dump() == replica.feed.dump():
        raise AssertionError('the state restored from the snapshot differs')
    size_bytes = sum(len(bytes(record.body)) for record in snapshot)
    return SizeResult(
        len(replica.fold.state.rows_by_key),
        change_s * MS_PER_S,
        size_bytes / 1000,
        start_s * MS_PER_S,
        memory_bytes / 1000,
    )


def restore_replica(snapshot: tuple[Record, ...]) -> TableReplica:
    """Return a replica restored from the records of a snapshot."""
    assembler = ChunkAssembler()
    replica = TableReplica()
    for offset, record in enumerate(snapshot):
        complete = assembler.add(LogEntry(offset, 1, record))
        if complete is not None:
            replica.feed.restore(complete.dump)
    return replica


def table_rows(count: int) -> dict[str, Any]:
    """Return the rows of a table that mostly holds sessions."""
    rows: dict[str, Any] = {
        'version/pult-model/small': {},
        'model/pult-model': {'weights_by_version': {'small': 1}},
        'workspace/bench': {'key_digests': []},
    }
    for number in range(count - len(rows)):
        rows[f'session/bench/session-{number}'] = {
            'model': 'pult-model',
            'version': 'small',
        }
    return rows


def print_slope(smaller: SizeResult, larger: SizeResult) -> None:
    """Print the cost of a thousand more rows."""
    thousands = (larger.rows - smaller.rows) / 1000
    names = ('change_ms', 'snapshot_kb', 'start_ms', 'memory_kb')
    costs = (
        (name, getattr(larger, name) - getattr(smaller, name)) for name in names
    )
    formatted = ', '.join(
        f'{name} +{cost / thousands:.2f}' for name, cost in costs
    )
    print(f'from {smaller.rows} to {larger.rows}, for 1000 rows: {formatted}')


def propagation_lines() -> Iterator[str]:
    """Yield the propagation times with and without the log at one daemon."""
    with World() as world:
        for domain in DOMAINS:
            world.add_daemon(f'entry-{domain}', domain)
        wait_until(lambda: is_folded_by_all(world, 0), 'the first table')
        yield f'log reachable: {propagation_summary(world)}'
        world.set_log_faults(LogFaults(is_down=True), f'entry-{DOMAINS[-1]}')
        yield f'one of three cut off from the log: {propagation_summary(world)}'


def propagation_summary(world: World) -> str:
    """Change the table repeatedly and format the propagation times."""
    times_s = sorted(propagation_s(world) for _ in range(PROPAGATED_CHANGES))
    p50 = times_s[len(times_s) // 2] * MS_PER_S
    p99 = times_s[-1] * MS_PER_S
    return f'p50 {p50:.0f} ms, p99 (largest of {len(times_s)}) {p99:.0f} ms'


def propagation_s(world: World) -> float:
    """Return the seconds until the last daemon has folded a change."""
    key = f'service/at-{time.monotonic_ns()}'
    started_s = time.perf_counter()
    offset = world.change_table(make_table_change({key: {}}))
    while not is_folded_by_all(world, offset):
        time.sleep(POLL_S)
    return time.perf_counter() - started_s


def is_folded_by_all(world: World, offset: int) -> bool:
    """Return whether every daemon has folded the change at an offset."""
    return all(
        kernel.find(TABLE, TableService).state.revision >= offset
        for kernel in world.kernels_by_host.values()
    )


if __name__ == '__main__':
    main()
