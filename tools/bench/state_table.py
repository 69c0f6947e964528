"""Cost of the table: folding, start-up and memory against its rows."""

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
from tools.bench.slopes import fit
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
    """Print the time of one change against the rows of the table."""
    times_ms = [_fold_ms(rows) for rows in ROW_COUNTS]
    for rows, spent_ms in zip(ROW_COUNTS, times_ms, strict=True):
        rate = MS_PER_S / spent_ms
        print(f'fold: {rows:5} rows  {spent_ms:7.2f} ms  {rate:7.0f} records/s')
    slope = fit(list(ROW_COUNTS), times_ms)
    print(f'fold: {slope.per_unit * MS_PER_S:.3f} us a row and change')


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
    """Print start-up time and memory against the table's rows."""
    bytes_used = []
    for rows in ROW_COUNTS:
        with contextlib.ExitStack() as run:
            ready_s, resident = _start(run, program, rows)
        bytes_used.append(float(resident))
        print(
            f'start: {rows:5} rows  ready after {ready_s:5.2f} s  '
            f'{resident / MB:6.1f} MB'
        )
    slope = fit(list(ROW_COUNTS), bytes_used)
    print(f'start: {slope.per_unit / KB:.2f} KB a row')


def _start(
    run: contextlib.ExitStack, program: tuple[str, ...], rows: int
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
        run.callback(standin.server.stop)
    folder = pathlib.Path(run.enter_context(tempfile.TemporaryDirectory()))
    settings = folder / 'settings.json'
    settings.write_text(
        settings_text('entry-1', 'zg-trnje', address, platform, platform)
    )
    processes = run.enter_context(Processes(folder))
    begun_s = time.monotonic()
    processes.start('daemon', *program, 'serve', str(settings))
    wait_for_port(address, OPERATOR_PORT)
    caller = Caller(address, '', OPERATOR_PORT)
    while caller.send('GET', '/ready', b'').status != 200:
        time.sleep(POLL_S)
    ready_s = time.monotonic() - begun_s
    time.sleep(SETTLE_S)
    return ready_s, _resident_of(str(settings))


def _resident_of(settings: str) -> int:
    for child in psutil.Process().children():
        if settings in child.cmdline():
            return int(child.memory_info().rss)
    raise ProcessLookupError(settings)


def source_program() -> tuple[str, ...]:
    """Return the command that runs the daemon from its sources."""
    return (sys.executable, '-m', 'marigoldhoist')
