"""The commands; each public method is one."""

import json
import pathlib
import signal
import threading
from functools import partial
from typing import Any

from marigoldhoist import __version__
from marigoldhoist.cli.client import OperatorClient
from marigoldhoist.cli.table_commands import TableCommands
from marigoldhoist.core.events import configure_logs
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import Kernel, load_components
from marigoldhoist.core.settings import load_settings


class Commands:
    """Run a daemon, or operate daemons through their operator port."""

    def __init__(self) -> None:
        self.table = TableCommands()

    def version(self) -> None:
        """Print the version."""
        print(__version__)

    def check(self, file: str) -> None:
        """Check a settings file without starting."""
        load_components()
        load_settings(pathlib.Path(file))
        print(f'{file}: ok')

    def serve(self, file: str) -> None:
        """Run a daemon until it is told to stop by SIGTERM or SIGINT."""
        load_components()
        settings = load_settings(pathlib.Path(file))
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
        """Show the daemon at a glance."""
        show(OperatorClient().get('/status'), json)

    def audit(self, json: bool = False) -> None:
        """Show what became of each change to the table."""
        show(OperatorClient().get('/audit'), json)


def _set(event: threading.Event, *_: object) -> None:
    event.set()


def show(content: Any, as_json: bool) -> None:
    """Print content as JSON, or as lines for people."""
    if as_json:
        print(json.dumps(content))
        return
    entries = content if isinstance(content, list) else [content]
    for entry in entries:
        for name, shown in entry.items():
            print(f'{name:24} {shown}')
        print()
