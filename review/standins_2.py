"""Shared parts of the scripts of the second review.

A world of the project's own stand-ins (store, replicas) on loopback addresses
and gateways as separate processes, started with the command and the template
of the deploy file.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tools.platform_standins.replica import StandInReplica  # noqa: E402
from tools.platform_standins.store import (  # noqa: E402
    OPERATOR_TOPIC,
    REPLICAS_TOPIC,
    StandInStore,
)

HELD, BROKEN, NOT_RUN = 0, 1, 2
KEY = 'n2ctnfzs989anu6wsjnb'
AUTHORITY = 'ficu95.example'
FRONT_PORT = 8227
READINESS_PORT = 8220
CONTROL_PORT = 8229
HANDOVER_PORT = 7340

# The figures of the sites' sheets.
BOUNDS = {
    'grace_s': 8,
    'revoke_ms': 5000,
    'converge_ms': 2000,
    'drain_ms': 2000,
    'session_s': 5,
    'budget_ratio': 0.9,
    'budget_window_s': 10,
    'canary_share': 0.15,
    'rollback_ms': 5000,
}


def has_trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run to record.txt of a case."""

    def __init__(self, case: pathlib.Path) -> None:
        self._file = (case / 'record.txt').open('w', encoding='utf-8')
        self._start_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        elapsed_s = time.monotonic() - self._start_s
        self._file.write(f'{elapsed_s:8.3f} {text}\n')
        self._file.flush()

    def end(self, code: int, text: str) -> int:
        """Write the outcome, print it and return the exit code."""
        word = {HELD: 'held', BROKEN: 'broken', NOT_RUN: 'not run'}[code]
        self.note(f'outcome: {word}: {text}')
        sys.stdout.write(f'{word}: {text}\n')
        return code


def free_network() -> str:
    """Return the first three numbers of a loopback network that is free."""
    while True:
        numbers = (random.randint(10, 250) for _ in range(2))
        network = '127.{}.{}'.format(*numbers)
        with socket.socket() as probe:
            try:
                probe.bind((f'{network}.1', FRONT_PORT))
            except OSError:
                continue
        return network


def rendered(template: str, values: dict[str, Any]) -> str:
    """Fill in a template of settings as DEPLOY.md says."""
    section = re.compile(r'{{#(\w+)}}(.*?){{/\1}}', re.DOTALL)

    def repeat(match: re.Match[str]) -> str:
        entries = values[match[1]]
        parts = []
        for position, entry in enumerate(entries):
            comma = ',' if position < len(entries) - 1 else ''
            part = match[2].replace('{{.}}', str(entry))
            parts.append(part.replace('{{,}}', comma))
        return ''.join(parts)

    def replace(match: re.Match[str]) -> str:
        found: Any = values
        for name in match[1].split('.'):
            found = found[int(name) if isinstance(found, list) else name]
        return json.dumps(found) if match[2] else str(found)

    filled = section.sub(repeat, template)
    return re.sub(r'{{([\w.]+)(\|json)?}}', replace, filled)


class Gateway:
    """One process of the gateway role, with its address and settings."""

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        store: str,
        seeds: list[str],
        folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.ip = ip
        self._folder = folder
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._role = deploy['roles']['gateway']
        values = {
            'node_name': name,
            'zone': zone,
            'ip': ip,
            'listen': {
                'front': f'{ip}:{FRONT_PORT}',
                'readiness': f'{ip}:{READINESS_PORT}',
                'control_plane': f'{ip}:{CONTROL_PORT}',
            },
            'internal_ports': [HANDOVER_PORT, HANDOVER_PORT + 15],
            'seed_nodes': seeds,
            'platform': {'address': store},
            'bounds': BOUNDS,
        }
        template = (ROOT / self._role['template']).read_text()
        self._settings = folder / f'{name}.json'
        self._settings.write_text(rendered(template, values))
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.starts += 1
        log = (self._folder / f'{self.name}-{self.starts}.log').open('wb')
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'MARIGOLDHOIST_NODE_FILE': str(self._settings),
        }
        with log:
            self.process = subprocess.Popen(
                shlex.split(self._role['run']),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def running(self) -> subprocess.Popen[bytes]:
        """Return the process, which was started."""
        assert self.process is not None
        return self.process

    def log_text(self) -> str:
        """Return the log of the newest start."""
        path = self._folder / f'{self.name}-{self.starts}.log'
        return path.read_text(encoding='utf-8', errors='replace')

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.running.send_signal(number)

    def rss_mb(self) -> float:
        """Return the resident memory of the process."""
        try:
            status = pathlib.Path(f'/proc/{self.running.pid}/status')
            for line in status.read_text().splitlines():
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    async def is_ready(self) -> bool:
        """Return whether the process answers the balancer with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, READINESS_PORT
            )
        except OSError:
            return False
        try:
            writer.write(
                b'GET /marigoldhoist/ready HTTP/1.1\r\nHost: a\r\n'
                b'Connection: close\r\n\r\n'
            )
            line = await asyncio.wait_for(reader.readline(), 2)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return b' 200 ' in line

    async def wait_ready(self, time_s: float = 25) -> bool:
        """Wait until the process is ready; return False if it never is."""
        end_s = time.monotonic() + time_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class World:
    """A store, replicas and gateways; an asynchronous context manager."""

    def __init__(self, case: pathlib.Path) -> None:
        self.record = Record(case)
        self.network = free_network()
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.store = StandInStore()
        self.replicas: list[StandInReplica] = []
        self.gateways: list[Gateway] = []
        self.entry_by_id: dict[str, dict[str, Any]] = {}

    async def __aenter__(self) -> 'World':
        """Start the store."""
        await self.store.start(f'{self.network}.1')
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """End all that was started."""
        for gateway in self.gateways:
            gateway.stop()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()
        self._temporary.cleanup()

    async def put_config(self, config: dict[str, Any]) -> None:
        """Write a configuration, as the operator does."""
        await self.store.put(OPERATOR_TOPIC, 'config', config)
        self.record.note(f'operator: config {config["version"]} acknowledged')

    async def add_replica(
        self, name: str, service: str, replica: StandInReplica, zone: str
    ) -> None:
        """Start a replica and register it in the store."""
        self.replicas.append(replica)
        await replica.start(f'{self.network}.{100 + len(self.replicas)}')
        entry = replica.entry(service, zone=zone, born=int(time.time() * 1000))
        self.entry_by_id[name] = entry
        await self.store.put(REPLICAS_TOPIC, name, entry)

    def add_gateway(self, name: str, zone: str) -> Gateway:
        """Add a gateway; it is started by its `start`."""
        ip = f'{self.network}.{10 + len(self.gateways)}'
        seeds = [f'{self.network}.{10 + n}:{CONTROL_PORT}' for n in range(3)]
        gateway = Gateway(
            name, zone, ip, self.store.address, seeds, self.folder
        )
        self.gateways.append(gateway)
        return gateway


def route(name: str, **overrides: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        'name': name,
        'host': AUTHORITY,
        'path_prefix': f'/{name}/',
        'kind': 'safe',
        'timeout_ms': 20000,
        'slo_ms': 400,
        'priority': 2,
        'service': 'app',
        'max_attempts': 2,
        'public': False,
        **overrides,
    }


def config(
    version: int, routes: list[dict[str, Any]], keys: list[str]
) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'app',
                'health_path': '/health',
                'max_connections': 110,
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'hule930', 'api_keys': keys, 'priority': 1}],
    }


def request_bytes(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    body: bytes = b'',
    key: str = KEY,
    extra: str = '',
) -> bytes:
    """Return an encoded request of a client."""
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {AUTHORITY}\r\n'
        f'Request-Id: {request_id}\r\nRequest-Deadline: {deadline_ms}\r\n'
        f'X-Api-Key: {key}\r\n{extra}'
    )
    if body or method == 'POST':
        head += f'Content-Length: {len(body)}\r\n'
    return f'{head}\r\n'.encode() + body


def run(main: Any, limit_s: float = 110) -> None:
    """Run a case and exit with its code; 2 if it could not run."""
    try:
        code = asyncio.run(asyncio.wait_for(main(), limit_s))
    except Exception as error:
        sys.stdout.write(f'not run: {error!r}\n')
        sys.exit(NOT_RUN)
    sys.exit(code)
