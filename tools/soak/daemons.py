"""Daemons as child processes.

The soak sends signals to these processes only.
"""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
from typing import Any

from marigoldhoist.core.identity import split_address
from tools.soak.const import FAULT_RECOVERY_S, READY_TIMEOUT_S
from tools.world.addresses import next_address


class DaemonProcess:
    """One daemon process, which keeps its addresses across restarts."""

    def __init__(
        self, name: str, folder: pathlib.Path, settings: dict[str, Any]
    ) -> None:
        self.name = name
        # The root of the release that is started next, None for this one.
        self.release: pathlib.Path | None = None
        self._ip = next_address()
        self.caller_address = f'{self._ip}:8080'
        self.readiness_address = f'{self._ip}:8081'
        self.peer_address = f'{self._ip}:8082'
        self._handover_address = f'{self._ip}:8083'
        self._folder = folder
        self._settings = settings
        self._process: subprocess.Popen[bytes] | None = None
        self.is_paused = False
        self.is_stopping = False
        self._last_fault_s = float('-inf')
        self.log_path = folder / f'{name}.log'

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """Return the id of the process, zero before its first start."""
        return 0 if self._process is None else self._process.pid

    def start(self, seeds: list[str]) -> None:
        """Write the settings file and start the process."""
        settings = {
            **self._settings,
            'daemon': {
                'host': self.name,
                'failure_domain': 'here',
                'address': self._ip,
            },
            'gateway': {
                **self._settings['gateway'],
                'callers': self.caller_address,
                'readiness': self.readiness_address,
            },
            'mirrors': {
                'address': self.peer_address,
                'handover_address': self._handover_address,
                'seeds': seeds,
            },
        }
        path = self._folder / f'{self.name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        with self.log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'marigoldhoist.platform'],
                cwd=self.release,
                env=self._environment(path),
                stdout=log,
                stderr=log,
            )
        self.is_paused = False
        self.is_stopping = False

    def _environment(self, settings_path: pathlib.Path) -> dict[str, str]:
        environment = {
            **os.environ,
            'MARIGOLDHOIST_NODE_FILE': str(settings_path),
        }
        if self.release is not None:
            environment['PYTHONPATH'] = str(self.release)
        return environment

    def note_fault(self) -> None:
        """Record that the process was killed, paused or resumed just now."""
        self._last_fault_s = asyncio.get_running_loop().time()

    def had_fault_since(self, since_s: float) -> bool:
        """Return whether a kill or pause may affect work since the given time.

        Faults up to FAULT_RECOVERY_S before that time count as well.
        """
        return (
            self.is_paused or self._last_fault_s >= since_s - FAULT_RECOVERY_S
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)
            self.is_paused = number is signal.SIGSTOP

    async def wait_for_exit(self, timeout_s: float) -> bool:
        """Wait for the process to exit; return whether it has exited."""
        end_s = asyncio.get_running_loop().time() + timeout_s
        while self.is_running and asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(0.05)
        return not self.is_running

    async def wait_until_ready(self) -> None:
        """Wait until the readiness endpoint returns 200."""
        host, port = split_address(self.readiness_address)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await _is_ready(host, port):
                await asyncio.sleep(0.05)

    def kill(self) -> None:
        """Kill the process and wait for it."""
        if self._process is not None and self.is_running:
            self._process.kill()
            self._process.wait()


async def _is_ready(host: str, port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
        status_line = await reader.readline()
    except OSError:
        return False
    writer.close()
    return b' 200 ' in status_line
