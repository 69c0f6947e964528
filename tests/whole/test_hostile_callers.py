"""A daemon process beside crowds of callers that keep to no limit."""

import asyncio
import dataclasses
import itertools
import pathlib
from collections.abc import Iterator, Mapping
from functools import partial
from types import MappingProxyType
from typing import Final

import pytest

from tests.crowd import (
    KIB,
    MIB,
    Attack,
    Crowd,
    ask,
    chunked_pieces,
    repeated_pieces,
    sized_pieces,
)
from tests.process_figures import open_descriptors, peak_memory_bytes
from tools.world.daemons import DaemonProcesses
from tools.world.samples import WORKSPACE_KEY
from tools.world.world import ENTRY_PORT, World

HOST: Final = 'entry-1'
DOMAIN: Final = 'zg-trnje'
# The memory of the smallest host that a daemon is meant for.
MAX_MEMORY_BYTES: Final = 128 * MIB
MAX_DESCRIPTORS: Final = 300
# The largest body by default.
MAX_BODY_BYTES: Final = 4_194_304
CROWD: Final = 90
# A daemon that runs few requests at a time, and a crowd larger than that.
FEW_REQUESTS: Final = MappingProxyType({'max_requests': 8})
SMALL_CROWD: Final = 30
DRIP_PAUSE_S: Final = 0.5
HEAD: Final = (
    'POST /services/pult-narudzbe/x HTTP/1.1\r\nHost: test\r\n'
    f'Authorization: Bearer {WORKSPACE_KEY}\r\n'
)
ORDINARY: Final = f'{HEAD}Content-Length: 2\r\n\r\n{{}}'.encode()
CHUNKED: Final = f'{HEAD}Transfer-Encoding: chunked\r\n\r\n'.encode()
SIZED: Final = f'{HEAD}Content-Length: {MAX_BODY_BYTES}\r\n\r\n'.encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """An attack, the size of its crowd and the settings of the daemon."""

    attack: Attack
    size: int = CROWD
    settings: Mapping[str, object] = dataclasses.field(default_factory=dict)


def drip(head: bytes) -> Iterator[bytes]:
    """Yield a head, then a byte now and then without end."""
    yield head
    yield from itertools.repeat(b'x')


def small_case(attack: Attack) -> Case:
    """Return a case with a small crowd."""
    return Case(attack, SMALL_CROWD, FEW_REQUESTS)


def nothing() -> Iterator[bytes]:
    """Send nothing."""
    return iter(())


CASES: Final = {
    'whole_bodies': Case(Attack(partial(sized_pieces, SIZED, MAX_BODY_BYTES))),
    'incomplete_bodies': Case(
        Attack(partial(sized_pieces, SIZED, MAX_BODY_BYTES - 1))
    ),
    'chunks': Case(
        Attack(partial(chunked_pieces, CHUNKED, 64 * KIB, MAX_BODY_BYTES // 2))
    ),
    'small_chunks': small_case(
        Attack(partial(chunked_pieces, CHUNKED, 1, 512 * KIB))
    ),
    'trailers': small_case(
        Attack(
            partial(
                repeated_pieces,
                b'%b1\r\nx\r\n0\r\n' % CHUNKED,
                b'X-Filler: filler\r\n' * KIB,
                MIB,
            )
        )
    ),
    'dripping_bodies': small_case(
        Attack(partial(drip, SIZED), DRIP_PAUSE_S, is_dripping=True)
    ),
    'dripping_heads': small_case(
        Attack(
            partial(drip, f'{HEAD}X-Filler: '.encode()),
            DRIP_PAUSE_S,
            is_dripping=True,
        )
    ),
    'silent_connections': small_case(Attack(nothing)),
}


class Daemon:
    """A daemon process beside its stand-ins."""

    def __init__(self, world: World, daemons: DaemonProcesses) -> None:
        self._processes = daemons.processes
        self.address = f'{world.address_of(HOST)}:{ENTRY_PORT}'

    async def meet(self, case: Case) -> None:
        """Check the daemon beside a crowd and after it has gone."""
        async with Crowd(self.address, case.attack, case.size):
            assert await ask(self.address, ORDINARY) == 200
            self.require_within_bounds()
        assert await ask(self.address, ORDINARY) == 200
        self.require_within_bounds()

    def require_within_bounds(self) -> None:
        """Check that the process lives within its memory and descriptors."""
        assert self._processes.is_running(HOST)
        pid = self._processes.pid_of(HOST)
        assert peak_memory_bytes(pid) < MAX_MEMORY_BYTES
        assert open_descriptors(pid) < MAX_DESCRIPTORS


@pytest.fixture
def world() -> Iterator[World]:
    """Start the stand-ins with one plain service."""
    with World() as started:
        started.add_plain('plain-1', DOMAIN, 'pult-narudzbe')
        yield started


@pytest.fixture
def daemons(world: World, tmp_path: pathlib.Path) -> Iterator[DaemonProcesses]:
    """Provide daemon processes, of which none is started yet."""
    with DaemonProcesses(world, tmp_path) as started:
        yield started


class TestCrowd:
    """The process lives within its bounds and answers ordinary callers."""

    @pytest.mark.parametrize('name', CASES)
    def test_is_bounded(
        self, name: str, world: World, daemons: DaemonProcesses
    ) -> None:
        case = CASES[name]
        world.entry_settings = dict(case.settings)
        daemons.start(HOST, DOMAIN)
        asyncio.run(Daemon(world, daemons).meet(case))


BODIES: Final = {
    'length': lambda: sized_pieces(SIZED, MAX_BODY_BYTES),
    'chunks': lambda: chunked_pieces(CHUNKED, 64 * KIB, 4_000_000),
    'small_chunks': lambda: chunked_pieces(CHUNKED, 1, 512 * KIB),
}


class TestSingleRequest:
    """A request inside the limits is served when nobody else asks."""

    @pytest.mark.parametrize('name', BODIES)
    def test_is_served(
        self, name: str, world: World, daemons: DaemonProcesses
    ) -> None:
        request = b''.join(BODIES[name]())
        if name != 'length':
            request = b'%b0\r\n\r\n' % request
        daemons.start(HOST, DOMAIN)
        daemon = Daemon(world, daemons)
        assert asyncio.run(ask(daemon.address, request)) == 200
        daemon.require_within_bounds()
