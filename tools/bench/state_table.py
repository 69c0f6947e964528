"""Measure fold, start-up and memory of the table by number of rows."""

import contextlib
import pathlib
import sys
import tempfile
import time

import psutil

from marigoldhoist.components.platform_log.const import TABLE_STREAM
from marigoldhoist.components.platform_log.models import LogEntry, new_record
from marigoldhoist.components.table.const import CHANGE_KIND
from marigoldhoist.components.table.fold import TableFold
from tools.bench.relay_environment import OPERATOR_PORT, wait_for_port
from tools.bench.slopes import fit_line
from tools.standins.hosts import HostServer
from tools.standins.log import LogServer, LogStore
from tools.world.addresses import next_address
from tools.world.caller import Caller
from tools.world.processes import Processes
from tools.world.samples import SAMPLE_ROWS, make_table_change, settings_text

ROW_COUNTS = (100, 1000, 4000)
FOLDED_CHANGES = 40
MS_PER_S = 1000
MB = 1_000_000
KB = 1000
SETTLE_S = 3.0
POLL_S = 0.01


def measure_fold() -> None:
    """Print the processor time of folding a change by table size."""
    times_ms = [_fold_ms(rows) for rows in ROW_COUNTS]
    for rows, fold_ms in zip(ROW_COUNTS, times_ms, strict=True):
        rate = MS_PER_S / fold_ms
        print(f'fold: {rows:5} rows  {fold_ms:7.2f} ms  {rate:7.0f} records/s')
    slope = fit_line(list(ROW_COUNTS), times_ms)
    print(f'fold: {slope.per_unit * MS_PER_S:.3f} us per row and change')


def _fold_ms(rows: int) -> float:
    fold = TableFold()
    fold.apply(_entry(0, _rows(rows)))
    entries = [
        _entry(number, {f'service/new-{number}': {}})
        for number in range(1, FOLDED_CHANGES + 1)
    ]
    begun_s = time.process_time()
    for entry in entries:
        fold.apply(entry)
    return (time.process_time() - begun_s) / FOLDED_CHANGES * MS_PER_S


def _rows(count: int) -> dict[str, object]:
    added: dict[str, object] = {
        f'service/service-{number}': {} for number in range(count)
    }
    return SAMPLE_ROWS | added


def _entry(offset: int, rows: dict[str, object]) -> LogEntry:
    return LogEntry(
        offset, offset, new_record(CHANGE_KIND, make_table_change(rows))
    )


def measure_start(program: tuple[str, ...]) -> None:
    """Print the start-up time and memory of a daemon by table size."""
    memory_bytes = []
    for rows in ROW_COUNTS:
        with contextlib.ExitStack() as stack:
            ready_s, resident_bytes = _start(stack, program, rows)
        memory_bytes.append(float(resident_bytes))
        print(
            f'start: {rows:5} rows  ready after {ready_s:5.2f} s  '
            f'{resident_bytes / MB:6.1f} MB'
        )
    slope = fit_line(list(ROW_COUNTS), memory_bytes)
    print(f'start: {slope.per_unit / KB:.2f} KB per row')


def _start(
    stack: contextlib.ExitStack, program: tuple[str, ...], rows: int
) -> tuple[float, int]:
    platform = next_address()
    address = next_address()
    store = LogStore()
    change = new_record(CHANGE_KIND, make_table_change(_rows(rows)))
    store.append(TABLE_STREAM, (change,))
    for standin in (
        LogServer(platform, 7000, store),
        HostServer(platform, 7001),
    ):
        standin.server.start()
        stack.callback(standin.server.stop)
    folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
    settings_path = folder / 'settings.json'
    settings_path.write_text(
        settings_text('entry-1', 'zg-trnje', address, platform, platform)
    )
    processes = stack.enter_context(Processes(folder))
    begun_s = time.monotonic()
    processes.start('daemon', *program, 'serve', str(settings_path))
    wait_for_port(address, OPERATOR_PORT)
    caller = Caller(address, '', OPERATOR_PORT)
    while caller.send('GET', '/ready', b'').status != 200:
        time.sleep(POLL_S)
    ready_s = time.monotonic() - begun_s
    time.sleep(SETTLE_S)
    return ready_s, _resident_bytes(str(settings_path))


def _resident_bytes(settings_path: str) -> int:
    for child in psutil.Process().children():
        if settings_path in child.cmdline():
            return int(child.memory_info().rss)
    raise ProcessLookupError(settings_path)


def source_program() -> tuple[str, ...]:
    """Return the command that runs the daemon from source."""
    return (sys.executable, '-m', 'marigoldhoist')
