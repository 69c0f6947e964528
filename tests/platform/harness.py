"""Run a gateway in-process against a fake store and fake replicas."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from typing import Any, Final

from marigoldhoist.components.configuration.const import (
    COMPONENT as CONFIGURATION,
)
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.gateway.const import COMPONENT as GATEWAY_NAME
from marigoldhoist.components.gateway.service import GatewayService
from marigoldhoist.components.mirrors.const import COMPONENT as MIRRORS
from marigoldhoist.components.mirrors.service import MirrorService
from marigoldhoist.core.deployments import GATEWAY
from marigoldhoist.core.kernel import Kernel, load_components
from marigoldhoist.core.settings import Settings
from marigoldhoist.platform.attach import attach_platform
from tools.platform_standins.http import HEAD_END, StandInServer
from tools.platform_standins.replica import StandInReplica
from tools.platform_standins.store import (
    OPERATOR_TOPIC,
    REPLICAS_TOPIC,
    StandInStore,
)
from tools.world.addresses import next_address

HOST: Final = '127.0.0.1'
KEY: Final = 'k1'
MODELS: Final = ('m0', 'm1', 'm2')
TEST_TIMEOUT_S: Final = 10.0
NESTING_DEPTH: Final = 100_000
# JSON that no decoder reads, in a field that no record has.
NESTED_DEEPLY: Final = (
    f'{{"other":{"[" * NESTING_DEPTH}{"]" * NESTING_DEPTH}}}'.encode()
)
request_numbers = itertools.count(1)


def route(name: str, **overrides: Any) -> dict[str, Any]:
    """Return a route whose path prefix is its name."""
    return {
        'name': name,
        'host': 'calls.example',
        'path_prefix': f'/{name}/',
        'kind': 'safe',
        'timeout_ms': 3000,
        'slo_ms': 1000,
        'priority': 0,
        'service': 'plain',
        'max_attempts': 2,
        **overrides,
    }


def configuration(version: int, **overrides: Any) -> dict[str, Any]:
    """Return a configuration with at least one route of each kind."""
    model = {'service': 'model', 'kind': 'streaming', 'sizes': list(MODELS)}
    return {
        'version': version,
        'routes': [
            route('safe'),
            route('unsafe', kind='unsafe', max_attempts=1),
            route('unsafe2', kind='unsafe', max_attempts=2),
            route('stream', max_attempts=3, can_resume=True, **model),
            route('once', max_attempts=1, can_resume=True, **model),
            route('unresumable', max_attempts=3, **model),
        ],
        'services': [{'name': 'plain'}, {'name': 'model'}],
        'tenants': [{'name': 'w1', 'api_keys': [KEY], 'priority': 1}],
        **overrides,
    }


def daemon_section(name: str, failure_domain: str = 'here') -> dict[str, str]:
    """Return the daemon section of the settings."""
    return {'host': name, 'failure_domain': failure_domain, 'address': HOST}


def start_kernel(settings: dict[str, Any]) -> Kernel:
    """Return a started gateway kernel with the platform adapter attached."""
    load_components(GATEWAY)
    kernel = Kernel(Settings(settings), GATEWAY)
    kernel.start()
    attach_platform(kernel)
    return kernel


async def wait_for_version(kernel: Kernel, version: int) -> float:
    """Wait for a configuration version; return its age in seconds."""
    service = kernel.find(CONFIGURATION, ConfigurationService)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while service.current is None or service.current.version < version:
            await asyncio.sleep(0.01)
    return service.age_s


class CallerResponse:
    """A response as the caller read it from the socket."""

    def __init__(self, raw: bytes) -> None:
        head, _, self.body = raw.partition(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        self.status = int(lines[0].split(' ')[1]) if raw else 0
        self.headers = {
            name.lower(): text.strip()
            for name, _, text in (line.partition(':') for line in lines[1:])
        }

    @property
    def events(self) -> list[int]:
        """Return the ids of the stream events in order."""
        lines = self.body.split(b'\n')
        return [int(line[3:]) for line in lines if line.startswith(b'id:')]

    @property
    def is_complete(self) -> bool:
        """Return whether a chunked response has its terminating chunk."""
        return self.body.endswith(b'0\r\n\r\n')


def encode_request(path: str, **headers: str) -> bytes:
    """Return an encoded request; underscores in header names become dashes."""
    header_by_name = {
        'Host': 'calls.example',
        'Request-Id': f'r{next(request_numbers)}',
        'Request-Deadline': '5000',
        'X-Api-Key': KEY,
        'Connection': 'close',
    }
    header_by_name.update(
        {name.replace('_', '-'): text for name, text in headers.items()}
    )
    lines = ''.join(
        f'{name}: {text}\r\n' for name, text in header_by_name.items()
    )
    method = 'GET' if path.startswith('/safe/') else 'POST'
    return f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode('latin-1')


async def read_response(reader: asyncio.StreamReader) -> CallerResponse:
    """Read one response with a length from a kept connection."""
    head = await reader.readuntil(HEAD_END)
    length = int(CallerResponse(head).headers.get('content-length', '0'))
    return CallerResponse(head + await reader.readexactly(length))


async def exchange_bytes(address: str, raw: bytes) -> CallerResponse:
    """Send raw bytes to an address and read until the connection is closed."""
    host, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    received = b''
    try:
        writer.write(raw)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                while block := await reader.read(65_536):
                    received += block
    finally:
        writer.close()
    return CallerResponse(received)


class GatewayHarness:
    """A gateway with its store and its replicas."""

    def __init__(self, name: str = 'd1', failure_domain: str = 'here') -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.store = StandInStore()
        self.replica_by_name: dict[str, StandInReplica] = {}
        self.crashing_parts: frozenset[str] = frozenset()
        self.crashing_paths: frozenset[str] = frozenset()
        ip_address = next_address()
        self.address = f'{ip_address}:8080'
        self.readiness = f'{ip_address}:8081'
        self.metrics = f'{ip_address}:8082'
        self.peers = f'{ip_address}:8083'
        self.handover = f'{ip_address}:8084'

    @property
    def gateway(self) -> GatewayService:
        """Return the gateway service."""
        return self.kernel.find(GATEWAY_NAME, GatewayService)

    async def start(self) -> None:
        """Start all parts and wait until the gateway is ready."""
        await self.store.start(HOST)
        await self.store.put(OPERATOR_TOPIC, 'config', configuration(1))
        for name, service in (
            ('p1', 'plain'),
            ('p2', 'plain'),
            ('e1', 'model'),
            ('e2', 'model'),
        ):
            await self.add_replica(name, service)
        await self.start_daemon()

    async def join(self, other: 'GatewayHarness') -> None:
        """Start a daemon beside another one, with its store and replicas."""
        self.store = other.store
        self.replica_by_name = other.replica_by_name
        self.crashing_parts = other.crashing_parts
        self.crashing_paths = other.crashing_paths
        await self.start_daemon(other.peers)

    async def start_daemon(self, *seeds: str) -> None:
        """Start the daemon and wait until it is ready."""
        self.kernel = start_kernel(
            {
                'daemon': daemon_section(self.name, self.failure_domain),
                'gateway': {
                    'callers': self.address,
                    'readiness': self.readiness,
                    'metrics': self.metrics,
                    'stop_grace_ms': 4000,
                },
                'mirrors': {
                    'address': self.peers,
                    'handover_address': self.handover,
                    'seeds': list(seeds),
                },
                'store': {'address': self.store.address},
                'promises': {'repeat_ratio': 5},
            }
        )
        await self.gateway.listen()
        await self.kernel.find(MIRRORS, MirrorService).listen()
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until the gateway is ready and knows every replica."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not self.gateway.is_ready or len(
                self.gateway.context.directory.replica_by_host
            ) < len(self.replica_by_name):
                await asyncio.sleep(0.01)

    async def change_configuration(
        self, version: int, **overrides: Any
    ) -> None:
        """Store a configuration and wait until the daemon has adopted it."""
        await self.store.put(
            OPERATOR_TOPIC, 'config', configuration(version, **overrides)
        )
        await wait_for_version(self.kernel, version)

    async def add_replica(
        self, name: str, service: str, **overrides: Any
    ) -> StandInReplica:
        """Start a replica and store its registration."""
        replica = StandInReplica(name)
        replica.crashing_parts = self.crashing_parts
        replica.crashing_paths = self.crashing_paths
        await replica.start(HOST)
        self.replica_by_name[name] = replica
        entry = replica.entry(service, **overrides)
        await self.store.put(REPLICAS_TOPIC, name, entry)
        return replica

    async def replace_replicas(
        self, service: str, server: StandInServer
    ) -> None:
        """Start a server and make it the only replica of a service."""
        await server.start(HOST)
        directory = self.gateway.context.directory
        names = [
            replica.host
            for replica in directory.replica_by_host.values()
            if replica.entry.service == service
        ]
        entry = self.replica_by_name[names[0]].entry(service)
        for name in names:
            await self.store.put_raw(REPLICAS_TOPIC, name, b'')
        entry['address'] = server.address
        await self.store.put(REPLICAS_TOPIC, 'replacement', entry)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while directory.replica_by_host.keys() & set(names):
                await asyncio.sleep(0.01)

    async def call(self, path: str, **headers: str) -> CallerResponse:
        """Send one request and read the response to its end."""
        return await self.call_raw(encode_request(path, **headers))

    async def call_raw(self, raw: bytes) -> CallerResponse:
        """Send raw bytes and read until the gateway closes the connection."""
        return await exchange_bytes(self.address, raw)

    async def hand_over(self, path: str, **headers: str) -> CallerResponse:
        """Send one request as another daemon does that hands it over."""
        return await exchange_bytes(
            self.handover, encode_request(path, **headers)
        )

    async def stream(
        self, path: str = '/stream/x', **headers: str
    ) -> CallerResponse:
        """Request a stream and read the response to its end."""
        return await self.call(path, Model='*', Token_Count='100,10', **headers)

    def run_count(self, name_prefix: str = '') -> int:
        """Return how many requests ran at replicas with a name prefix."""
        return sum(
            len(replica.executed_requests)
            for name, replica in self.replica_by_name.items()
            if name.startswith(name_prefix)
        )

    def stop(self) -> None:
        """Stop the gateway, the store and the replicas."""
        self.kernel.stop()
        self.store.stop()
        for replica in self.replica_by_name.values():
            replica.stop()


@contextlib.asynccontextmanager
async def running_gateway() -> AsyncIterator[GatewayHarness]:
    """Provide a running gateway with two plain and two model replicas."""
    harness = GatewayHarness()
    await harness.start()
    try:
        yield harness
    finally:
        harness.stop()
