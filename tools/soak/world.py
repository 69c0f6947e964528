"""The world of one soak: stand-ins, proxies, daemons, callers."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
from collections.abc import Iterator

from tools.platform_standins.http import SeenRequest
from tools.platform_standins.replica import StandInReplica
from tools.platform_standins.store import (
    OPERATOR_TOPIC,
    REPLICAS_TOPIC,
    StandInStore,
)
from tools.soak.callers import Caller
from tools.soak.checks import Evidence, RunSeen, violations
from tools.soak.const import (
    CALLERS,
    DAEMONS,
    EVENT_PAUSE_S,
    EVENTS,
    FAULT_PAUSE_S,
    HOST,
    MODEL_REPLICAS,
    PLAIN_REPLICAS,
    STOP_GRACE_S,
    WITHDRAWAL_S,
)
from tools.soak.daemons import DaemonProcess
from tools.soak.faults import fault_by_name
from tools.soak.proxy import Proxy

MS_PER_S = 1000


class TimedRuns(list[SeenRequest]):
    """Runs of a replica, which tells of each as it begins."""

    def __init__(self, replica: str, evidence: Evidence) -> None:
        super().__init__()
        self._replica = replica
        self._evidence = evidence

    def append(self, run: SeenRequest) -> None:
        """Note a run and when it began."""
        now_s = asyncio.get_running_loop().time()
        request_id = run.headers['request-id']
        self._evidence.runs.append(RunSeen(request_id, self._replica, now_s))


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one seed showed."""

    seed: int
    calls: int
    served: int
    faults: tuple[str, ...]
    found: tuple[str, ...]


class SoakWorld:
    """Everything that one seed runs."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self._seed = seed
        self._rng = random.Random(seed)
        self._folder = folder
        self._injected: list[str] = []
        self.evidence = Evidence()
        self.found: list[str] = []
        self.version = 1
        self.store = StandInStore()
        self.store_proxy: Proxy
        self.replicas: dict[str, StandInReplica] = {}
        self.replica_proxies: dict[str, Proxy] = {}
        self.daemons: list[DaemonProcess] = []
        self.callers: list[Caller] = []

    @property
    def seeds(self) -> list[str]:
        """Return whom a starting daemon asks for others."""
        return [daemon.peers for daemon in self.daemons]

    async def run(self, length_s: float) -> Outcome:
        """Run the world for a time and return what broke a promise."""
        try:
            await self._start()
            await self._disturb(length_s)
        finally:
            self._stop()
        self.found.extend(violations(self.evidence))
        served = sum(1 for call in self.evidence.calls if call.is_whole)
        return Outcome(
            self._seed,
            len(self.evidence.calls),
            served,
            tuple(self._injected),
            tuple(self.found),
        )

    async def add_replica(self, name: str, service: str) -> None:
        """Start a replica behind a proxy and have it list itself."""
        replica = StandInReplica(name, EVENTS)
        replica.executed_requests = TimedRuns(name, self.evidence)
        replica.event_pause_s = EVENT_PAUSE_S
        replica.confidence = self._rng.choice((5, 95))
        await replica.start(HOST)
        proxy = Proxy(replica.address)
        await proxy.start(HOST)
        replica.interrupted_ids = self.evidence.broken_off
        self.replicas[name] = replica
        self.replica_proxies[name] = proxy
        await self.store.put(REPLICAS_TOPIC, name, self.entry(name, service))

    def entry(self, name: str, service: str) -> dict[str, object]:
        """Return a replica's entry, which names its proxy."""
        address = self.replica_proxies[name].address
        return self.replicas[name].entry(service, address=address)

    def note_left(self, name: str) -> None:
        """Note that a replica has told that it leaves."""
        now_s = asyncio.get_running_loop().time()
        self.evidence.left_s_by_replica[name] = now_s

    def drop_replica(self, name: str) -> None:
        """End a replica that has left."""
        self.replicas.pop(name).stop()
        self.replica_proxies.pop(name).stop()

    async def put_configuration(self, more_keys: list[str]) -> None:
        """Store a new version with keys besides the one that stays."""
        self.version += 1
        await self.store.put(
            OPERATOR_TOPIC, 'config', _configuration(self.version, more_keys)
        )

    @contextlib.contextmanager
    def store_trouble(self) -> Iterator[None]:
        """Note that the store is in trouble."""
        begun_s = asyncio.get_running_loop().time()
        try:
            yield
        finally:
            ended_s = asyncio.get_running_loop().time()
            self.evidence.store_troubles_s.append((begun_s, ended_s))

    @contextlib.contextmanager
    def replica_trouble(self) -> Iterator[None]:
        """Note that replicas break off by themselves."""
        begun_s = asyncio.get_running_loop().time()
        try:
            yield
        finally:
            ended_s = asyncio.get_running_loop().time()
            self.evidence.replica_troubles_s.append((begun_s, ended_s))

    async def _start(self) -> None:
        await self.store.start(HOST)
        self.store_proxy = Proxy(self.store.address)
        await self.store_proxy.start(HOST)
        await self.put_configuration([])
        for plain in range(PLAIN_REPLICAS):
            await self.add_replica(f'p{plain}', 'plain')
        for model in range(MODEL_REPLICAS):
            await self.add_replica(f'e{model}', 'model')
        settings = {
            'gateway': {'stop_grace_ms': STOP_GRACE_S * MS_PER_S},
            'store': {'address': self.store_proxy.address},
            'promises': {
                'repeat_ratio': 2,
                'key_withdrawal_ms': WITHDRAWAL_S * MS_PER_S,
            },
        }
        self.daemons = [
            DaemonProcess(f'd{place}', self._folder, settings)
            for place in range(DAEMONS)
        ]
        for daemon in self.daemons:
            daemon.start(self.seeds)
        for starting in self.daemons:
            await starting.wait_until_ready()
        self.callers = [
            Caller(
                f's{self._seed}-c{caller}',
                self.daemons,
                self.evidence,
                random.Random(self._rng.random()),
            )
            for caller in range(CALLERS)
        ]

    async def _disturb(self, length_s: float) -> None:
        """Inject faults, in series and overlapping, while callers call."""
        calling = [asyncio.create_task(one.run()) for one in self.callers]
        faults: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + length_s
        while loop.time() < end_s:
            name = self._rng.choice(sorted(fault_by_name))
            self._injected.append(name)
            inject = fault_by_name[name](self, self._rng)
            faults.add(asyncio.ensure_future(inject))
            await asyncio.sleep(self._rng.random() * FAULT_PAUSE_S * 4)
        for ended in await asyncio.gather(*faults, return_exceptions=True):
            if isinstance(ended, BaseException):
                self.found.append(f'a fault could not be undone: {ended!r}')
        await asyncio.sleep(1)
        for task in calling:
            task.cancel()
        for gone in await asyncio.gather(*calling, return_exceptions=True):
            if isinstance(gone, Exception):
                self.found.append(f'a caller ended: {gone!r}')

    def _stop(self) -> None:
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.end()
        for replica in self.replicas.values():
            replica.stop()
        for proxy in self.replica_proxies.values():
            proxy.stop()
        self.store_proxy.stop()
        self.store.stop()


def _configuration(version: int, more_keys: list[str]) -> dict[str, object]:
    common = {
        'host': 'calls.example',
        'timeout_ms': 4000,
        'slo_ms': 1000,
        'service': 'plain',
    }
    stream = {'service': 'model', 'can_resume': True, 'sizes': ['m0', 'm1']}
    routes = [
        {**common, 'kind': 'safe', 'max_attempts': 3},
        {**common, 'kind': 'unsafe', 'max_attempts': 2},
        {**common, 'kind': 'streaming', 'max_attempts': 4, **stream},
    ]
    for name, route in zip(('safe', 'unsafe', 'stream'), routes, strict=True):
        route |= {'name': name, 'path_prefix': f'/{name}/'}
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': 'plain'}, {'name': 'model'}],
        'tenants': [{'name': 'w', 'api_keys': ['kept', *more_keys]}],
    }
