"""The commands of the command line; each public method is a command."""

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
    """Run a daemon, or manage running daemons through the operator API.

    Exit codes: 0 success, 1 rejected, 2 usage or other error,
    3 outcome unknown.
    """

    def __init__(self) -> None:
        self.table = TableCommands()

    def version(self) -> None:
        """Print the version of this program."""
        print(__version__)

    def check(self, file: str) -> None:
        """Validate a settings file without starting a daemon."""
        _load(file)
        print(f'{file}: ok')

    def serve(self, file: str) -> None:
        """Run a daemon until it receives SIGTERM or SIGINT."""
        settings = _load(file)
        daemon = settings.section(DaemonSettings)
        configure_logs(daemon.log_level, daemon.host)
        kernel = Kernel(settings)
        stop_requested = threading.Event()
        stop = partial(_set_event, stop_requested)
        signal.signal(signal.SIGTERM, stop)
        signal.signal(signal.SIGINT, stop)
        kernel.start()
        stop_requested.wait()
        kernel.stop()

    def status(self, json: bool = False) -> None:
        """Show the status of each daemon, and which are unreachable."""
        fleet = OperatorClient().get('/fleet')
        _print(fleet, json, print_fleet)

    def bills(self, json: bool = False) -> None:
        """Show the totals billed to each workspace for each version."""
        show_bills(json)

    def audit(self, json: bool = False) -> None:
        """Show all changes to the table and their outcomes."""
        _print(OperatorClient().get('/audit'), json, print_audit)


def _load(file: str) -> Settings:
    load_components()
    return load_settings(pathlib.Path(str(file)))


def _print(content: Any, as_json: bool, print_text: Any) -> None:
    if as_json:
        print_json(content)
    else:
        print_text(content)


def _set_event(event: threading.Event, *_: object) -> None:
    event.set()
