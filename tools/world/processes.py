"""Start, freeze, kill and stop processes."""

import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Set

from tools.world.samples import PEER_KEY

STOP_TIMEOUT_S = 8.0


class Processes:
    """Child processes by name; use it in a with block."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._standins: set[str] = set()
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> 'Processes':
        """Return itself."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Stop every process that is left."""
        self.stop_all()

    def stop_all(self) -> None:
        """Stop every process that is left, also a frozen one."""
        for frozen in tuple(self._process_by_name):
            self.thaw(frozen)
        # Daemons stop first, as a planned stop needs the platform.
        self._stop(self._process_by_name.keys() - self._standins)
        self._stop(self._standins & self._process_by_name.keys())

    def _stop(self, names: Set[str]) -> None:
        for asked in names:
            self._process_by_name[asked].terminate()
        for name in names:
            self.wait(name)

    def start(self, name: str, *command: str) -> None:
        """Start a process; its output goes to a file of its own."""
        environment = os.environ | {
            'MARIGOLDHOIST_PEER_KEY': PEER_KEY,
            'PYTHONPATH': str(pathlib.Path.cwd()),
        }
        with (self._folder / f'{name}.log').open('wb') as output:
            self._process_by_name[name] = subprocess.Popen(
                command,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def start_standin(
        self, name: str, kind: str, address: str, port: int
    ) -> None:
        """Start a stand-in."""
        module = ('-m', 'tools.standins', kind, address, str(port))
        self._standins.add(name)
        self.start(name, sys.executable, *module)

    def kill(self, name: str) -> None:
        """Kill a process without warning."""
        process = self._process_by_name.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Pause a process, unaware."""
        self._process_by_name[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a paused process go on."""
        self._process_by_name[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Begin a planned stop."""
        self._process_by_name[name].terminate()

    def wait(self, name: str) -> int:
        """Wait for a process to end, or kill it; return its exit code."""
        process = self._process_by_name.pop(name)
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def read_output(self, name: str) -> str:
        """Return what a process has printed."""
        return (self._folder / f'{name}.log').read_text(errors='replace')
