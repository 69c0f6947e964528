"""Run the demo; exit with status 1 if a guarantee is broken."""

import pathlib
import signal
import sys
import tempfile
from typing import Any

import fire
import msgspec

from tools.demo.report import Report
from tools.demo.run import Demo
from tools.world.processes import Processes


def demo(binary: str = '', json: bool = False) -> None:
    """Run nine daemons under load, from source or from a built executable."""
    signal.signal(signal.SIGTERM, _exit)
    daemon = [sys.executable, '-m', 'marigoldhoist']
    if binary:
        daemon = [str(pathlib.Path(binary).resolve())]
    with tempfile.TemporaryDirectory() as name:
        report = _run(pathlib.Path(name), daemon)
    _print_report(report)
    if json:
        print(msgspec.json.encode(report).decode())
    sys.exit(1 if report.broken_guarantees() else 0)


def _run(folder: pathlib.Path, daemon: list[str]) -> Report:
    with Processes(folder) as processes:
        return Demo(processes, folder, daemon).run()


def _print_report(report: Report) -> None:
    for name, figure in msgspec.structs.asdict(report).items():
        print(f'  {name:28} {figure}')
    for violation in report.broken_guarantees():
        print(f'BROKEN: {violation}')


def _exit(*_: Any) -> None:
    sys.exit(1)


fire.Fire(demo)
