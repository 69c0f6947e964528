"""The processes of a relay benchmark: a daemon and a paced sender."""

import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator

import psutil

from marigoldhoist.components.hosts.models import HostEntry, HostRole
from marigoldhoist.components.platform_log.const import TABLE_STREAM
from marigoldhoist.components.platform_log.models import new_record
from marigoldhoist.components.table.const import CHANGE_KIND
from tools.standins.hosts import HostServer
from tools.standins.log import LogServer
from tools.world.addresses import next_address
from tools.world.samples import (
    OPERATOR_KEY,
    PEER_KEY,
    SAMPLE_ROWS,
    make_table_change,
    settings_text,
)

LOG_PORT = 7000
HOSTS_PORT = 7001
ENTRY_PORT = 7100
OPERATOR_PORT = 7300
SENDER_PORT = 7400
SERVES = ('pult-model/small', 'pult-model/large')
PORT_TIMEOUT_S = 20.0
POLL_S = 0.05
STOP_TIMEOUT_S = 10.0
MAX_REQUESTS = 700


class RelayEnvironment:
    """The platform's stand-ins, one sender and one daemon."""

    def __init__(
        self, tokens: int, token_ms: float, program: tuple[str, ...]
    ) -> None:
        self.platform = next_address()
        self.sender = next_address()
        self.daemon = next_address()
        self._sender_arguments = (str(tokens), str(token_ms))
        self._program = program
        self._log = LogServer(self.platform, LOG_PORT)
        self._hosts = HostServer(self.platform, HOSTS_PORT)
        record = new_record(CHANGE_KIND, make_table_change(SAMPLE_ROWS))
        self._log.store.append(TABLE_STREAM, (record,))
        engine = HostEntry(
            'engine-1',
            HostRole.ENGINE,
            self.sender,
            SENDER_PORT,
            'zg-trnje',
            serves=SERVES,
        )
        self._hosts.store.set((engine,))

    @contextlib.contextmanager
    def running(self) -> Iterator[psutil.Process]:
        """Start all processes and yield the daemon's."""
        self._log.server.start()
        self._hosts.server.start()
        with (
            tempfile.TemporaryDirectory() as folder,
            contextlib.ExitStack() as stack,
        ):
            stack.callback(self._hosts.server.stop)
            stack.callback(self._log.server.stop)
            settings = pathlib.Path(folder) / 'settings.json'
            settings.write_text(self._settings())
            self._start(
                stack,
                (sys.executable, '-m', 'tools.standins.sender'),
                (self.sender, str(SENDER_PORT), *self._sender_arguments),
            )
            daemon = self._start(stack, self._program, ('serve', str(settings)))
            wait_for_port(self.sender, SENDER_PORT)
            wait_for_port(self.daemon, ENTRY_PORT)
            time.sleep(1)
            yield psutil.Process(daemon.pid)

    def _settings(self) -> str:
        text = settings_text(
            'entry-1',
            'zg-trnje',
            self.daemon,
            self.platform,
            self.platform,
            {'max_requests': MAX_REQUESTS},
        )
        sections = json.loads(text)
        # The sample settings poll faster than the defaults to be measured.
        del sections['platform_log']['long_poll_s']
        del sections['hosts']['poll_interval_s']
        return json.dumps(sections)

    def _start(
        self,
        stack: contextlib.ExitStack,
        program: tuple[str, ...],
        arguments: tuple[str, ...],
    ) -> subprocess.Popen[bytes]:
        environment = os.environ | {'MARIGOLDHOIST_PEER_KEY': PEER_KEY}
        process = subprocess.Popen((*program, *arguments), env=environment)
        stack.callback(process.wait, STOP_TIMEOUT_S)
        stack.callback(process.terminate)
        return process


def wait_for_port(address: str, port: int) -> float:
    """Wait until a port accepts connections; return the monotonic time."""
    deadline_s = time.monotonic() + PORT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        with contextlib.suppress(OSError):
            socket.create_connection((address, port)).close()
            return time.monotonic()
        time.sleep(POLL_S)
    raise TimeoutError(f'no server listens at {address}:{port}')


def operator_headers() -> dict[str, str]:
    """Return the headers of an operator request."""
    return {'Authorization': f'Bearer {OPERATOR_KEY}'}
