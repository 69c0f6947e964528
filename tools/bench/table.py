"""Measure the table's state: `script/bench table`.

Prints fold rates and the cost of a start from a snapshot at three sizes of
the table with their slopes, and the time from append to in force at daemons
that reach the log and at one that does not.
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
OTHER_RECORDS: Final = 20_000
IN_FORCE_CHANGES: Final = 40
POLL_S: Final = 0.0005
MS_PER_S: Final = 1000
DOMAINS: Final = ('zg-trnje', 'zg-dubrava', 'zg-susedgrad')


@dataclasses.dataclass(frozen=True, slots=True)
class SizeResult:
    """What a table of one size costs."""

    rows: int
    change_ms: float
    snapshot_kb: float
    start_ms: float
    memory_kb: float


class Daemon:
    """The table of one daemon, fed by hand."""

    def __init__(self) -> None:
        self.feed = Feed(TABLE_STREAM)
        self.fold = TableFold()
        self.feed.add_fold(self.fold.apply)
        self.feed.add_part(TABLE, self.fold.dump, self.fold.restore)

    def offer(self, records: list[Record]) -> float:
        """Fold records and return the seconds that it took."""
        offset = self.feed.next_offset
        entries = [
            LogEntry(offset + number, 1, record)
            for number, record in enumerate(records)
        ]
        begun_s = time.perf_counter()
        self.feed.offer(entries)
        return time.perf_counter() - begun_s


def main() -> None:
    """Print every measurement."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    print(f'passed over: {passed_over_per_s():.0f} records/s')
    results = [measure(rows) for rows in SIZES_ROWS]
    for measured in results:
        print(
            f'{measured.rows} rows: {measured.change_ms:.2f} ms a change,'
            f' snapshot {measured.snapshot_kb:.1f} kB,'
            f' start {measured.start_ms:.1f} ms,'
            f' memory {measured.memory_kb:.0f} kB'
        )
    for smaller, larger in itertools.pairwise(results):
        print_slope(smaller, larger)
    for line in in_force_lines():
        print(line)


def passed_over_per_s() -> float:
    """Return the rate of records that no fold of the table wants."""
    record = new_record('other', None)
    return OTHER_RECORDS / Daemon().offer(
        [record for _ in range(OTHER_RECORDS)]
    )


def measure(rows: int) -> SizeResult:
    """Fold changes into a table of that size and start from its snapshot."""
    daemon = Daemon()
    daemon.offer([new_record(CHANGE_KIND, make_table_change(table_rows(rows)))])
    changes = [
        new_record(
            CHANGE_KIND, make_table_change({f'service/new-{number}': {}})
        )
        for number in range(CHANGES)
    ]
    change_s = daemon.offer(changes) / CHANGES
    snapshot = split_dump(daemon.feed.dump())
    gc.collect()
    tracemalloc.start()
    started = start_from(snapshot)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    begun_s = time.perf_counter()
    again = start_from(snapshot)
    start_s = time.perf_counter() - begun_s
    if not started.feed.dump() == again.feed.dump() == daemon.feed.dump():
        raise AssertionError('the snapshot is not the state')
    size_bytes = sum(len(bytes(record.body)) for record in snapshot)
    return SizeResult(
        len(daemon.fold.state.rows_by_key),
        change_s * MS_PER_S,
        size_bytes / 1000,
        start_s * MS_PER_S,
        memory_bytes / 1000,
    )


def start_from(snapshot: tuple[Record, ...]) -> Daemon:
    """Return a daemon that starts from a snapshot's records."""
    assembler = ChunkAssembler()
    daemon = Daemon()
    for offset, record in enumerate(snapshot):
        complete = assembler.add(LogEntry(offset, 1, record))
        if complete is not None:
            daemon.feed.restore(complete.dump)
    return daemon


def table_rows(count: int) -> dict[str, Any]:
    """Return a table that is mostly rows of sessions."""
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
    """Print what a thousand rows more cost."""
    thousands = (larger.rows - smaller.rows) / 1000
    names = ('change_ms', 'snapshot_kb', 'start_ms', 'memory_kb')
    costs = (
        (name, getattr(larger, name) - getattr(smaller, name)) for name in names
    )
    shown = ', '.join(f'{name} +{cost / thousands:.2f}' for name, cost in costs)
    print(f'from {smaller.rows} to {larger.rows}, for 1000 rows: {shown}')


def in_force_lines() -> Iterator[str]:
    """Yield the times from append to in force, log in reach or not."""
    with World() as world:
        for domain in DOMAINS:
            world.add_daemon(f'entry-{domain}', domain)
        wait_until(lambda: is_in_force(world, 0), 'the first table')
        yield f'log in reach: {delays(world)}'
        world.set_log_faults(LogFaults(is_down=True), f'entry-{DOMAINS[-1]}')
        yield f'one of three cut off from the log: {delays(world)}'


def delays(world: World) -> str:
    """Change the table and time until the last daemon has the change."""
    timed_s = sorted(delay_s(world) for _ in range(IN_FORCE_CHANGES))
    p50 = timed_s[len(timed_s) // 2] * MS_PER_S
    p99 = timed_s[-1] * MS_PER_S
    return f'p50 {p50:.0f} ms, p99 (largest of {len(timed_s)}) {p99:.0f} ms'


def delay_s(world: World) -> float:
    """Return the seconds that one change takes to the last daemon."""
    key = f'service/at-{time.monotonic_ns()}'
    begun_s = time.perf_counter()
    offset = world.change_table(make_table_change({key: {}}))
    while not is_in_force(world, offset):
        time.sleep(POLL_S)
    return time.perf_counter() - begun_s


def is_in_force(world: World, offset: int) -> bool:
    """Tell whether every daemon has folded the change at offset."""
    return all(
        kernel.find(TABLE, TableService).state.revision >= offset
        for kernel in world.kernels_by_host.values()
    )


if __name__ == '__main__':
    main()
