"""Processes and stand-ins for the scripts of the review.

The gateways are the project's own program, started as the deploy file starts
it. The store is the project's own stand-in; replicas and clients are small ones
that follow the users' pages.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

from tools.platform_standins.store import (
    OPERATOR_TOPIC,
    REPLICAS_TOPIC,
    StandInStore,
)

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
HEAD_END: Final = b'\r\n\r\n'
HOST: Final = 'calls.example'
KEY: Final = 'n2ctnfzs989anu6wsjnb'
TENANT: Final = 'hule930'
HEARTBEAT_S: Final = 1.2
# Start of the line that names the exception which ended a process.
EXCEPTION_START: Final = 'RuntimeError: Cannot'
READY_TIMEOUT_S: Final = 60.0
# Exit statuses of a scenario; run.sh turns all others into "not run".
HELD: Final = 0
BROKEN: Final = 10
NOT_RUN: Final = 2
# Bounds of the site that a small deployment is given.
PROMISES: Final = {
    'key_withdrawal_ms': 5000,
    'change_in_force_ms': 2000,
    'replica_drain_ms': 2000,
    'session_gap_ms': 5000,
    'repeat_ratio': 0.9,
    'repeat_window_ms': 10_000,
    'canary_share': 0.15,
    'roll_back_ms': 5000,
}


def is_troubled() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._start_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        elapsed_s = time.monotonic() - self._start_s
        self._file.write(f'{elapsed_s:8.3f} s  {text}\n')
        self._file.flush()


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response; header names are lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start_line.split(' ')[1])

    @property
    def request_id(self) -> str:
        """Return the id in the message, empty if it has none."""
        return self.headers.get('request-id', '')


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a start line and headers."""
    raw = await reader.readuntil(HEAD_END)
    start_line, *lines = raw.decode('latin-1').rstrip().split('\r\n')
    headers = {
        name.strip().lower(): text.strip()
        for name, _, text in (line.partition(':') for line in lines)
    }
    return Message(start_line, headers)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with its body."""
    message = await read_head(reader)
    if message.headers.get('transfer-encoding', '').lower() == 'chunked':
        message.body = b''.join([part async for part in read_chunks(reader)])
    else:
        length = int(message.headers.get('content-length', '0'))
        message.body = await reader.readexactly(length)
    return message


async def read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the chunks of a body."""
    while size := int(await reader.readline(), 16):
        yield await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return a response with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + HEAD_END + body


Handler = Callable[['Replica', Message, asyncio.StreamWriter], Awaitable[None]]


class Replica:
    """A replica with one handler for all requests."""

    def __init__(
        self, name: str, service: str, zone: str, record: Record
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.handler: Handler = answer_small
        self.state = 'ready'
        self.version = 'v1'
        self.slots = 8
        self.born = int(time.time() * 1000)
        self.address = ''
        self.sequence = 0
        self.runs: list[Message] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def entry(self) -> dict[str, Any]:
        """Return the entry in the list of replicas."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def headers(self, request: Message) -> dict[str, str]:
        """Return the headers of an answer."""
        return {
            'Request-Id': request.request_id,
            'Response-Seal': f'seal.{self.name}.{request.request_id}',
            'Server-Load': f'{len(self._writers)},0,{self.slots}',
            'Keep-Alive': 'timeout=10',
        }

    def note_run(self, request: Message) -> None:
        """Record that the replica runs a request."""
        self.runs.append(request)
        self.record.note(
            f'run      {request.request_id} at {self.name}: '
            f'{request.start_line}'
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        ended = (ConnectionError, asyncio.IncompleteReadError)
        with contextlib.suppress(*ended, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                if request.headers.get('target-instance') != self.name:
                    headers = {'Request-Id': request.request_id}
                    writer.write(encode_response(421, headers))
                    continue
                await self.handler(self, request, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.transport.abort()


async def answer_small(
    replica: Replica, request: Message, writer: asyncio.StreamWriter
) -> None:
    """Run a request at once and answer with a few bytes."""
    replica.note_run(request)
    body = f'answer to {request.request_id}'.encode()
    writer.write(encode_response(200, replica.headers(request), body))


class Gateway:
    """One daemon, started as the deploy file starts it."""

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.zone = zone
        self.ip = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}.1'
        ports = _free_ports(self.ip, 5)
        self.port, self._ready, self._control, self._internal = ports[:4]
        self._metrics = ports[4]
        self._folder = folder
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def control_address(self) -> str:
        """Return the address at which other daemons reach it."""
        return f'{self.ip}:{self._control}'

    def start(self, store_address: str, seeds: list[str]) -> None:
        """Write the settings and start the process."""
        settings = {
            'daemon': {
                'host': self.name,
                'failure_domain': self.zone,
                'address': self.ip,
            },
            'gateway': {
                'callers': f'{self.ip}:{self.port}',
                'readiness': f'{self.ip}:{self._ready}',
                'stop_grace_ms': 8000,
                'metrics': f'{self.ip}:{self._metrics}',
            },
            'mirrors': {
                'address': self.control_address,
                'handover_address': f'{self.ip}:{self._internal}',
                'seeds': seeds,
            },
            'store': {'address': store_address},
            'promises': PROMISES,
        }
        path = self._folder / f'{self.name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        environment = {
            **os.environ,
            'MARIGOLDHOIST_NODE_FILE': str(path),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        }
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'marigoldhoist.platform'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def error_lines(self) -> list[str]:
        """Return the lines of the output that name an exception."""
        path = self._folder / f'{self.name}.log'
        lines = path.read_text(encoding='utf-8').splitlines()
        return [line for line in lines if line.startswith(EXCEPTION_START)]

    async def wait_until_ready(self) -> None:
        """Wait until the readiness check answers 200."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        """Return whether the platform would send clients here."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(self.ip, self._ready)
            try:
                writer.write(
                    b'GET /marigoldhoist/ready HTTP/1.1\r\nHost: a\r\n\r\n'
                )
                return (await read_message(reader)).status == 200
            finally:
                writer.close()
        return False


def _free_ports(ip_address: str, count: int) -> list[int]:
    """Return different ports that nobody listens on."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((ip_address, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Link:
    """A way to one address, which can be cut, or hold answers up once."""

    def __init__(
        self, target: tuple[str, int], record: Record, window_bytes: int = 2**16
    ) -> None:
        self._target = target
        self._record = record
        self._window_bytes = window_bytes
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._is_cut = False
        self._stall_s: float = 0
        self.host = ''
        self.port = 0

    @property
    def address(self) -> str:
        """Return the address of this end."""
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.host, self.port = self._server.sockets[0].getsockname()

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def cut(self) -> None:
        """Reset all connections, and those that are opened from now on."""
        self._is_cut = True
        for task in self._tasks:
            task.cancel()

    def heal(self) -> None:
        """Let new connections through."""
        self._is_cut = False

    def stall_once(self, stall_s: float) -> None:
        """Hold the rest of the next answer up for a time."""
        self._stall_s = stall_s

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_cut:
            writer.transport.abort()
            return
        task = asyncio.create_task(self._pass(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target = socket.socket()
        # The windows of the links are small.
        target.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self._window_bytes
        )
        target.setblocking(False)
        await asyncio.get_running_loop().sock_connect(target, self._target)
        answers, requests = await asyncio.open_connection(
            sock=target, limit=self._window_bytes
        )
        try:
            await asyncio.gather(
                self._copy(reader, requests),
                self._copy(answers, writer, is_answer=True),
            )
        finally:
            writer.transport.abort()
            requests.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool = False,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while block := await reader.read(self._window_bytes):
                writer.write(block)
                await writer.drain()
                if is_answer and self._stall_s:
                    await self._stall()
        writer.close()

    async def _stall(self) -> None:
        stall_s, self._stall_s = self._stall_s, 0
        self._record.note(f'link     stalls for {stall_s} s')
        await asyncio.sleep(stall_s)
        self._record.note('link     goes on')


class Deployment:
    """The store, replicas and gateways of one script; a context manager."""

    def __init__(
        self, folder: pathlib.Path, record: Record, routes: list[dict[str, Any]]
    ) -> None:
        self.folder = folder
        self.record = record
        self.store = StandInStore()
        self.routes = routes
        self.keys = [KEY]
        self.version = 0
        self.replicas: list[Replica] = []
        self.gateways: list[Gateway] = []
        self.links: list[Link] = []
        self._beats: asyncio.Task[None] | None = None

    async def __aenter__(self) -> 'Deployment':
        """Start the store."""
        await self.store.start('127.0.0.1')
        await self.put_configuration()
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """End everything that was started."""
        if self._beats is not None:
            self._beats.cancel()
        for gateway in self.gateways:
            gateway.end()
        for replica in self.replicas:
            replica.stop()
        for link in self.links:
            link.stop()
        self.store.stop()
        # Connections that were ended above are closed in the next steps.
        await asyncio.sleep(0.1)

    async def add_link(self, target: tuple[str, int]) -> Link:
        """Start a link to an address."""
        link = Link(target, self.record)
        await link.start()
        self.links.append(link)
        return link

    async def put_configuration(self) -> None:
        """Store the next version of the configuration."""
        self.version += 1
        services = {route['service'] for route in self.routes}
        content = {
            'version': self.version,
            'routes': self.routes,
            'services': [
                {'name': name, 'max_connections': 100} for name in services
            ],
            'limits': {
                'max_header_bytes': 16_384,
                'max_body_bytes': 4_194_304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15_000,
            },
            'tenants': [{'name': TENANT, 'api_keys': self.keys}],
        }
        await self.store.put(OPERATOR_TOPIC, 'config', content)

    async def add_replica(
        self, name: str, service: str, zone: str = 'zone-a'
    ) -> Replica:
        """Start a replica and register it."""
        replica = Replica(name, service, zone, self.record)
        await replica.start()
        self.replicas.append(replica)
        await self.beat(replica)
        return replica

    async def beat(self, replica: Replica) -> None:
        """Write the entry of a replica."""
        await self.store.put(REPLICAS_TOPIC, replica.name, replica.entry())

    async def start_gateways(
        self, count: int, store_address: str, zones: str = 'abc'
    ) -> None:
        """Start gateways in zones by turns and wait until all are ready."""
        self._beats = asyncio.create_task(self._beat_all())
        for number in range(count):
            zone = f'zone-{zones[number % len(zones)]}'
            self.gateways.append(
                Gateway(f'front-{zone}-{number}', zone, self.folder)
            )
        seeds = [gateway.control_address for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.start(store_address, seeds)
        for gateway in self.gateways:
            await gateway.wait_until_ready()

    async def _beat_all(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for replica in tuple(self.replicas):
                await self.beat(replica)


def route(name: str, kind: str, **changed: Any) -> dict[str, Any]:
    """Return a route whose path prefix is its name."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 2000,
        'slo_ms': 400,
        'priority': 2,
        'service': 'pult-narudzbe',
        'max_attempts': 1,
        'public': False,
        **changed,
    }


_numbers = itertools.count(1)


def new_request_id(prefix: str = 'r') -> str:
    """Return an id that no request had before."""
    return f'{prefix}{next(_numbers):06d}'


def encode_request(
    method: str, path: str, request_id: str, **headers: str
) -> bytes:
    """Return a request; underscores in the names of headers become dashes."""
    by_name = {
        'Host': HOST,
        'Request-Id': request_id,
        'Request-Deadline': '4000',
        'X-Api-Key': KEY,
        **{name.replace('_', '-'): text for name, text in headers.items()},
    }
    if method == 'POST':
        by_name.setdefault('Content-Length', '0')
    lines = ''.join(f'{name}: {text}\r\n' for name, text in by_name.items())
    return f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode('latin-1')


def run_script(
    folder: pathlib.Path,
    scenario: Callable[[pathlib.Path, Record], Awaitable[bool]],
) -> None:
    """Run a scenario that returns whether the rule held; exit accordingly."""
    record = Record(folder)
    record.note('with the disruption' if is_troubled() else 'without it')
    try:
        with tempfile.TemporaryDirectory() as temporary:
            has_held = asyncio.run(
                _limited(scenario, pathlib.Path(temporary), record)
            )
    except Exception as error:
        record.note(f'could not run: {error!r}')
        traceback.print_exc()
        sys.exit(NOT_RUN)
    record.note('the rule held' if has_held else 'the rule was broken')
    sys.exit(HELD if has_held else BROKEN)


async def _limited(
    scenario: Callable[[pathlib.Path, Record], Awaitable[bool]],
    folder: pathlib.Path,
    record: Record,
) -> bool:
    async with asyncio.timeout(100):
        return await scenario(folder, record)
