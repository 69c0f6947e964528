"""The commands; each public method is one."""

import pathlib
import signal
import threading
from functools import partial
from typing import Any

from marigoldhoist import __version__
from marigoldhoist.cli.bill_commands import show_bills
from marigoldhoist.cli.client import OperatorClient
from marigoldhoist.cli.fleet_commands import print_fleet
from marigoldhoist.cli.table_commands import TableCommands, print_audit
from marigoldhoist.cli.tables import print_json
from marigoldhoist.core.events import configure_logs
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import Kernel, load_components
from marigoldhoist.core.settings import Settings, load_settings


class Commands:
    """Run a daemon, or operate daemons through their operator port.

    Exit codes: 0 done, 1 rejected, 2 usage, 3 outcome unknown.
    """

    def __init__(self) -> None:
        self.table = TableCommands()

    def version(self) -> None:
        """Print the version."""
        print(__version__)

    def check(self, file: str) -> None:
        """Check a settings file without starting."""
        _load(file)
        print(f'{file}: ok')

    def serve(self, file: str) -> None:
        """Run a daemon until it is told to stop by SIGTERM or SIGINT."""
        settings = _load(file)
        daemon = settings.section(DaemonSettings)
        configure_logs(daemon.log_level, daemon.host)
        kernel = Kernel(settings)
        told_to_stop = threading.Event()
        stop = partial(_set, told_to_stop)
        signal.signal(signal.SIGTERM, stop)
        signal.signal(signal.SIGINT, stop)
        kernel.start()
        told_to_stop.wait()
        kernel.stop()

    def status(self, json: bool = False) -> None:
        """Show every daemon that can be reached, at a glance."""
        fleet = OperatorClient().get('/fleet')
        _show(fleet, json, print_fleet)

    def bills(self, json: bool = False) -> None:
        """Show what each workspace was billed for each version."""
        show_bills(json)

    def audit(self, json: bool = False) -> None:
        """Show what became of each change to the table."""
        _show(OperatorClient().get('/audit'), json, print_audit)


def _load(file: str) -> Settings:
    load_components()
    return load_settings(pathlib.Path(str(file)))


def _show(content: Any, as_json: bool, print_human: Any) -> None:
    if as_json:
        print_json(content)
    else:
        print_human(content)


def _set(event: threading.Event, *_: object) -> None:
    event.set()
