"""The environment of one soak run: stand-ins, proxies, daemons and callers."""

import asyncio
import contextlib
import dataclasses
import itertools
import pathlib
import random
import signal
from collections.abc import Iterator
from functools import partial

from tools.platform_standins.http import ReceivedRequest
from tools.platform_standins.replica import StandInReplica
from tools.platform_standins.slow_client import LARGE_BYTES
from tools.platform_standins.store import (
    OPERATOR_TOPIC,
    REPLICAS_TOPIC,
    StandInStore,
)
from tools.soak.answer_faults import NEWEST_GENERATION
from tools.soak.callers import Caller
from tools.soak.checks import Observations, ObservedRun, find_violations
from tools.soak.configuration import make_configuration
from tools.soak.const import (
    AGREEMENT_S,
    CALLER_COUNT,
    DAEMON_COUNT,
    EVENT_COUNT,
    EVENT_INTERVAL_S,
    FAULT_PAUSE_S,
    HOST,
    KEY_WITHDRAWAL_S,
    LARGE_PATH,
    MODEL_REPLICA_COUNT,
    PLAIN_REPLICA_COUNT,
    STOP_GRACE_S,
)
from tools.soak.crashing_parts import CrashingParts
from tools.soak.daemons import DaemonProcess
from tools.soak.faults import fault_by_name, fault_names
from tools.soak.proxy import Proxy

MS_PER_S = 1000


class ExecutionRecorder(list[ReceivedRequest]):
    """A list that records the start of each execution instead of keeping it."""

    def __init__(
        self, replica: str, observations: Observations, crashing: CrashingParts
    ) -> None:
        super().__init__()
        self._replica = replica
        self._observations = observations
        self._crashing = crashing

    def append(self, request: ReceivedRequest) -> None:
        """Record that the replica starts to execute a request."""
        now_s = asyncio.get_running_loop().time()
        request_id = request.headers['request-id']
        self._crashing.note_arrival(request_id)
        self._observations.runs.append(
            ObservedRun(request_id, self._replica, now_s)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The result of running one seed."""

    seed: int
    calls: int
    completed: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]


class SoakWorld:
    """Runs one seed: starts all processes, injects faults, checks results."""

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        generation: int = NEWEST_GENERATION,
    ) -> None:
        self._seed = seed
        self._fault_names = fault_names(generation)
        self._extra_keys: list[str] = []
        # Routes of the next configuration that only make it longer.
        self.extra_routes = 0
        self._rng = random.Random(seed)
        self._folder = folder
        self._injected: list[str] = []
        self._starts = itertools.count(1)
        self._open_disturbances = 0
        self._disturbed_until_s: float = 0
        self.observations = Observations()
        self.violations: list[str] = []
        self.config_version = 1
        self.crashing_parts = CrashingParts(self)
        self.store = StandInStore()
        self.store_proxy: Proxy
        self.replica_by_name: dict[str, StandInReplica] = {}
        self.proxy_by_replica: dict[str, Proxy] = {}
        self.daemons: list[DaemonProcess] = []
        self.callers: list[Caller] = []

    @property
    def peer_seeds(self) -> list[str]:
        """Return the peer addresses from which a daemon discovers its peers."""
        return [daemon.peer_address for daemon in self.daemons]

    async def run(self, duration_s: float) -> Outcome:
        """Inject faults for the given time and check the guarantees."""
        try:
            await self._start()
            await self._inject_faults(duration_s)
        finally:
            self._stop()
        self.violations.extend(find_violations(self.observations))
        completed = sum(
            1 for call in self.observations.calls if call.is_complete
        )
        return Outcome(
            self._seed,
            len(self.observations.calls),
            completed,
            tuple(self._injected),
            tuple(self.violations),
        )

    async def add_replica(self, name: str) -> None:
        """Start a replica behind a proxy and register it in the store."""
        replica = StandInReplica(name, EVENT_COUNT)
        replica.crashing_parts = self.crashing_parts.part_ids
        replica.crashing_paths = self.crashing_parts.paths
        replica.on_crash = partial(self.crashing_parts.note_crash, name)
        replica.born = next(self._starts)
        replica.executed_requests = ExecutionRecorder(
            name, self.observations, self.crashing_parts
        )
        replica.event_pause_s = EVENT_INTERVAL_S
        replica.on_answer = self._note_answer
        replica.body_bytes_by_path = {LARGE_PATH: LARGE_BYTES}
        replica.confidence = self._rng.choice((5, 95))
        await replica.start(HOST)
        proxy = Proxy(replica.address)
        await proxy.start(HOST)
        replica.interrupted_ids = self.observations.interrupted_ids
        self.replica_by_name[name] = replica
        self.proxy_by_replica[name] = proxy
        await self.register(name)

    def entry(self, name: str, service: str) -> dict[str, object]:
        """Return a replica's entry with the address of its proxy."""
        address = self.proxy_by_replica[name].address
        return self.replica_by_name[name].entry(service, address=address)

    def note_draining(self, name: str) -> None:
        """Record that a replica has announced that it is draining."""
        now_s = asyncio.get_running_loop().time()
        self.observations.drain_start_s_by_replica[name] = now_s

    def remove_replica(self, name: str) -> None:
        """Stop a replica and its proxy."""
        self.replica_by_name.pop(name).stop()
        self.proxy_by_replica.pop(name).stop()

    async def put_configuration(self, extra_keys: list[str]) -> None:
        """Store a new configuration with API keys besides the permanent one."""
        self.config_version += 1
        self._extra_keys = extra_keys
        await self._write_configuration()

    async def write_again(self) -> None:
        """Write the records of the operator and the replicas again.

        Entries of replicas that no longer exist expire.
        """
        await self._write_configuration()
        known = self.store.topic_by_name[REPLICAS_TOPIC].latest_by_key
        for gone in known.keys() - self.replica_by_name.keys():
            await self.store.put_raw(REPLICAS_TOPIC, gone, b'')
        for name in tuple(self.replica_by_name):
            await self.register(name)

    async def register(self, name: str) -> None:
        """Write the entry of a replica as it is now."""
        service = 'plain' if name.startswith('p') else 'model'
        entry = self.entry(name, service)
        if name in self.observations.drain_start_s_by_replica:
            entry['state'] = 'draining'
        await self.store.put(REPLICAS_TOPIC, name, entry)

    def _note_answer(self, request_id: str, status: int) -> None:
        self.observations.statuses_by_id[request_id].append(status)

    async def _write_configuration(self) -> None:
        content = make_configuration(
            self.config_version, self._extra_keys, self.extra_routes
        )
        await self.store.put(OPERATOR_TOPIC, 'config', content)

    @property
    def is_disturbed(self) -> bool:
        """Return whether the store or a link had a fault a short time ago."""
        now_s = asyncio.get_running_loop().time()
        return self._open_disturbances > 0 or now_s < self._disturbed_until_s

    @contextlib.contextmanager
    def disturb(self) -> Iterator[None]:
        """Mark a fault that may keep news or requests back for a while."""
        self._open_disturbances += 1
        try:
            yield
        finally:
            self._open_disturbances -= 1
            now_s = asyncio.get_running_loop().time()
            self._disturbed_until_s = now_s + AGREEMENT_S

    @contextlib.contextmanager
    def record_store_fault(self) -> Iterator[None]:
        """Record the time span of a store fault."""
        started_s = asyncio.get_running_loop().time()
        try:
            with self.disturb():
                yield
        finally:
            ended_s = asyncio.get_running_loop().time()
            self.observations.store_fault_spans_s.append((started_s, ended_s))

    @contextlib.contextmanager
    def record_replica_fault(self) -> Iterator[None]:
        """Record the time span of a fault in the link to a replica."""
        started_s = asyncio.get_running_loop().time()
        try:
            yield
        finally:
            ended_s = asyncio.get_running_loop().time()
            self.observations.replica_fault_spans_s.append((started_s, ended_s))

    async def _start(self) -> None:
        await self.store.start(HOST)
        self.store_proxy = Proxy(self.store.address)
        await self.store_proxy.start(HOST)
        await self.put_configuration([])
        for plain in range(PLAIN_REPLICA_COUNT):
            await self.add_replica(f'p{plain}')
        for model in range(MODEL_REPLICA_COUNT):
            await self.add_replica(f'e{model}')
        settings = {
            'gateway': {'stop_grace_ms': STOP_GRACE_S * MS_PER_S},
            'store': {'address': self.store_proxy.address},
            'promises': {
                'repeat_ratio': 2,
                'key_withdrawal_ms': KEY_WITHDRAWAL_S * MS_PER_S,
            },
        }
        self.daemons = [
            DaemonProcess(f'd{number}', self._folder, settings)
            for number in range(DAEMON_COUNT)
        ]
        for daemon in self.daemons:
            daemon.start(self.peer_seeds)
        for starting in self.daemons:
            await starting.wait_until_ready()
        self.callers = [
            Caller(
                f's{self._seed}-c{caller}',
                self.daemons,
                self.observations,
                random.Random(self._rng.random()),
            )
            for caller in range(CALLER_COUNT)
        ]

    async def _inject_faults(self, duration_s: float) -> None:
        """Inject faults, which may overlap, while callers send requests."""
        caller_tasks = [
            asyncio.create_task(caller.run()) for caller in self.callers
        ]
        fault_tasks: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            name = self._rng.choice(self._fault_names)
            self._injected.append(name)
            inject = fault_by_name[name](self, self._rng)
            fault_tasks.add(asyncio.ensure_future(inject))
            await asyncio.sleep(self._rng.random() * FAULT_PAUSE_S * 4)
        for fault_result in await asyncio.gather(
            *fault_tasks, return_exceptions=True
        ):
            if isinstance(fault_result, BaseException):
                self.violations.append(
                    f'fault injection failed: {fault_result!r}'
                )
        await asyncio.sleep(1)
        for task in caller_tasks:
            task.cancel()
        for caller_result in await asyncio.gather(
            *caller_tasks, return_exceptions=True
        ):
            if isinstance(caller_result, Exception):
                self.violations.append(f'a caller failed: {caller_result!r}')

    def _stop(self) -> None:
        for daemon in self.daemons:
            daemon.send_signal(signal.SIGCONT)
            daemon.kill()
        for replica in self.replica_by_name.values():
            replica.stop()
        for proxy in self.proxy_by_replica.values():
            proxy.stop()
        self.store_proxy.stop()
        self.store.stop()
