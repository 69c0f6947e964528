"""Answers that end while an upload is still being written."""

from collections.abc import Iterator
from typing import Final

import pytest

from marigoldhoist.components.hosts.models import HostEntry, HostRole
from marigoldhoist.components.upstreams.const import COMPONENT as UPSTREAMS
from marigoldhoist.components.upstreams.service import UpstreamService
from tests.early_server import run_early_server
from tools.world.addresses import next_address
from tools.world.caller import Caller
from tools.world.request_ids import new_uuid7
from tools.world.samples import WORKSPACE_KEY
from tools.world.world import World, wait_until

HOST: Final = 'entry-1'
SERVICE: Final = 'pult-narudzbe'
PORT: Final = 7460
UPLOAD: Final = b'x' * 3_000_000
READ_BYTES: Final = 200_000
ROUNDS: Final = 20
BAD_GATEWAY: Final = 502


@pytest.fixture(scope='module')
def world() -> Iterator[World]:
    """Start one daemon."""
    with World() as started:
        started.add_daemon(HOST, 'zg-trnje')
        yield started


def register(world: World, address: str) -> None:
    """Make an address the only replica of the service."""
    name = f'plain-{address}'
    world.register_host(
        HostEntry(
            name, HostRole.SERVICE, address, PORT, 'zg-trnje', serves=(SERVICE,)
        )
    )
    upstreams = world.kernels_by_host[HOST].find(UPSTREAMS, UpstreamService)
    wait_until(
        lambda: (
            name
            in [replica.host for replica in upstreams.replicas_serving(SERVICE)]
        ),
        f'{name} in the replica list',
    )


def statuses_of(world: World, upload: bytes, address: str) -> set[int]:
    """Return the statuses of calls that go to an upstream."""
    caller = Caller(world.address_of(HOST), WORKSPACE_KEY)
    statuses = set()
    for _ in range(ROUNDS):
        register(world, address)
        headers = {'X-Request-Id': new_uuid7()}
        reply = caller.send(
            'POST', f'/services/{SERVICE}/deposits', upload, headers
        )
        statuses.add(reply.status)
    world.deregister_host(f'plain-{address}')
    return statuses


class TestUnfinishedUpload:
    """A part of an answer is not delivered as a complete one."""

    @pytest.mark.parametrize('resets', [False, True])
    @pytest.mark.parametrize('read_bytes', [0, READ_BYTES])
    def test_answer_that_ends_meanwhile_is_not_complete(
        self, world: World, read_bytes: int, resets: bool
    ) -> None:
        address = next_address()
        with run_early_server(
            address, PORT, read_bytes=read_bytes, resets=resets
        ):
            assert 200 not in statuses_of(world, UPLOAD, address)


class TestStatusOutOfRange:
    """A status that no response can have is no answer."""

    @pytest.mark.parametrize('status', ['000', '020', '099', '600', '999'])
    def test_caller_gets_no_such_status(
        self, world: World, status: str
    ) -> None:
        address = next_address()
        with run_early_server(address, PORT, status, resets=False):
            statuses = statuses_of(world, b'{}', address)
        assert int(status) not in statuses
        assert max(statuses) < 600
