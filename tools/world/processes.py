"""Start, suspend, kill and stop child processes."""

import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Set

from tools.world.samples import PEER_KEY

STOP_TIMEOUT_S = 8.0


class Processes:
    """Child processes by name; a context manager that stops them all."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._standin_names: set[str] = set()
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> 'Processes':
        """Return itself."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Stop all processes that are still running."""
        self.stop_all()

    def stop_all(self) -> None:
        """Stop all processes that are still running or suspended."""
        for name in tuple(self._process_by_name):
            self.thaw(name)
        # Daemons stop first because a planned stop needs the platform.
        self._stop(self._process_by_name.keys() - self._standin_names)
        self._stop(self._standin_names & self._process_by_name.keys())

    def _stop(self, names: Set[str]) -> None:
        for running in names:
            self._process_by_name[running].terminate()
        for name in names:
            self.wait(name)

    def start(self, name: str, *command: str) -> None:
        """Start a process with its output redirected to a file of its own."""
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
        """Start a fake server of the given kind, see tools.standins."""
        module = ('-m', 'tools.standins', kind, address, str(port))
        self._standin_names.add(name)
        self.start(name, sys.executable, *module)

    def pid_of(self, name: str) -> int:
        """Return the id of a process."""
        return self._process_by_name[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process has not ended."""
        return self._process_by_name[name].poll() is None

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        process = self._process_by_name.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP, which it cannot handle."""
        self._process_by_name[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process."""
        self._process_by_name[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Send SIGTERM, which starts a planned stop, without waiting."""
        self._process_by_name[name].terminate()

    def wait(self, name: str) -> int:
        """Return a process's exit code; kill it after STOP_TIMEOUT_S."""
        process = self._process_by_name.pop(name)
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def read_output(self, name: str) -> str:
        """Return the output that a process has written so far."""
        return (self._folder / f'{name}.log').read_text(errors='replace')
