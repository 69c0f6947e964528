"""Daemons as processes of their own; only these are ever signalled."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
from typing import Any

from marigoldhoist.core.identity import split_address
from tools.soak.const import CONTACT_S, READY_TIMEOUT_S
from tools.world.addresses import next_address


class DaemonProcess:
    """One daemon; it keeps its addresses when it starts again."""

    def __init__(
        self, name: str, folder: pathlib.Path, settings: dict[str, Any]
    ) -> None:
        self.name = name
        self._address = next_address()
        self.callers = f'{self._address}:8080'
        self.readiness = f'{self._address}:8081'
        self.peers = f'{self._address}:8082'
        self._folder = folder
        self._settings = settings
        self._process: subprocess.Popen[bytes] | None = None
        self.is_paused = False
        self.is_stopping = False
        self._hurt_s = float('-inf')
        self.log_path = folder / f'{name}.log'

    @property
    def is_running(self) -> bool:
        """Tell whether the process lives."""
        return self._process is not None and self._process.poll() is None

    def start(self, seeds: list[str]) -> None:
        """Start the process."""
        settings = {
            **self._settings,
            'daemon': {
                'host': self.name,
                'failure_domain': 'here',
                'address': self._address,
            },
            'gateway': {
                **self._settings['gateway'],
                'callers': self.callers,
                'readiness': self.readiness,
            },
            'mirrors': {'address': self.peers, 'seeds': seeds},
        }
        path = self._folder / f'{self.name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        with self.log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'marigoldhoist.platform'],
                env={**os.environ, 'MARIGOLDHOIST_NODE_FILE': str(path)},
                stdout=log,
                stderr=log,
            )
        self.is_paused = False
        self.is_stopping = False

    def note_hurt(self) -> None:
        """Note that the process is killed or paused, or was until now."""
        self._hurt_s = asyncio.get_running_loop().time()

    def was_hurt_since(self, moment_s: float) -> bool:
        """Tell whether the process was killed or paused since a moment."""
        return self.is_paused or self._hurt_s >= moment_s - CONTACT_S

    def signal(self, number: signal.Signals) -> None:
        """Signal the process if it lives."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)
            self.is_paused = number is signal.SIGSTOP

    async def wait_until_ended(self, timeout_s: float) -> bool:
        """Wait for the process; tell whether it has ended."""
        end_s = asyncio.get_running_loop().time() + timeout_s
        while self.is_running and asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(0.05)
        return not self.is_running

    async def wait_until_ready(self) -> None:
        """Wait until the daemon tells the balancer that it is ready."""
        host, port = split_address(self.readiness)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await _is_ready(host, port):
                await asyncio.sleep(0.05)

    def end(self) -> None:
        """End the process at once."""
        if self._process is not None and self.is_running:
            self._process.kill()
            self._process.wait()


async def _is_ready(host: str, port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
        first = await reader.readline()
    except OSError:
        return False
    writer.close()
    return b' 200 ' in first
