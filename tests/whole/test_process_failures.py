"""Daemons that are killed or frozen at the worst moment, as processes."""

import concurrent.futures
import pathlib
import time
from collections.abc import Iterator

import msgspec
import pytest
import urllib3

from tools.standins.plain import PlainFaults, PlainServer
from tools.world.caller import Caller, CallerReply
from tools.world.daemons import DaemonProcesses
from tools.world.request_ids import new_uuid7
from tools.world.samples import OPERATOR_KEY
from tools.world.world import OPERATOR_PORT, World, wait_until

HOSTS = ('entry-1', 'entry-2')
DOMAIN = 'zg-trnje'
DEPOSIT = 'pult-narudzbe/deposits'
SLOW_S = 1.0

Pool = concurrent.futures.ThreadPoolExecutor
Reply = concurrent.futures.Future[CallerReply]


@pytest.fixture
def world() -> Iterator[World]:
    """Start the stand-ins with one plain service."""
    with World() as started:
        started.add_plain('plain-1', DOMAIN, 'pult-narudzbe')
        yield started


@pytest.fixture
def daemons(world: World, tmp_path: pathlib.Path) -> Iterator[DaemonProcesses]:
    """Start two daemons."""
    with DaemonProcesses(world, tmp_path) as started:
        for host in HOSTS:
            started.start(host, DOMAIN)
        yield started


@pytest.fixture
def pool() -> Iterator[Pool]:
    """Return threads to send from."""
    with Pool() as threads:
        yield threads


def service(world: World) -> PlainServer:
    """Return the only plain service."""
    return world.plain_services_by_host['plain-1']


def send_order(daemons: DaemonProcesses, host: str, order: str) -> CallerReply:
    """Send an order to a daemon."""
    return daemons.caller(host).call_service(DEPOSIT, {'X-Request-Id': order})


class TestOrders:
    """An order runs at most once, whatever becomes of its daemon."""

    def test_killed_while_the_service_works(
        self, world: World, daemons: DaemonProcesses, pool: Pool
    ) -> None:
        service(world).faults = PlainFaults(delay_s=SLOW_S)
        order = new_uuid7()
        first = pool.submit(send_order, daemons, 'entry-1', order)
        wait_until(lambda: bool(service(world).calls), 'the call')
        daemons.processes.kill('entry-1')
        with pytest.raises(urllib3.exceptions.HTTPError):
            first.result()
        again = send_order(daemons, 'entry-2', order)
        assert (again.status, again.verdict) == (409, 'may_have_run')
        assert len(service(world).calls) == 1

    def test_frozen_while_the_service_works(
        self, world: World, daemons: DaemonProcesses, pool: Pool
    ) -> None:
        service(world).faults = PlainFaults(delay_s=SLOW_S)
        order = new_uuid7()
        first = pool.submit(send_order, daemons, 'entry-1', order)
        wait_until(lambda: bool(service(world).calls), 'the call')
        daemons.processes.freeze('entry-1')
        again = send_order(daemons, 'entry-2', order)
        assert (again.status, again.verdict) == (409, 'may_have_run')
        time.sleep(2 * SLOW_S)
        daemons.processes.thaw('entry-1')
        assert first.result().status == 200
        wait_until(
            lambda: send_order(daemons, 'entry-2', order).status == 200,
            'the recorded answer',
        )
        assert len(service(world).calls) == 1

    def test_frozen_between_claim_and_call(
        self, world: World, daemons: DaemonProcesses, pool: Pool
    ) -> None:
        world.log.faults.delay_s = SLOW_S
        order = new_uuid7()
        first = pool.submit(send_order, daemons, 'entry-1', order)
        wait_until(lambda: claims(world) == 1, 'the claim')
        daemons.processes.freeze('entry-1')
        world.log.faults.delay_s = 0
        time.sleep(3 * SLOW_S)
        again = send_order(daemons, 'entry-2', order)
        assert (again.status, again.verdict) == (409, 'may_have_run')
        assert not service(world).calls
        daemons.processes.thaw('entry-1')
        reply = first.result()
        ran = len(service(world).calls)
        assert (reply.status, ran) in {(200, 1), (503, 0)}
        assert reply.status == 200 or reply.verdict == 'not_run'


def claims(world: World) -> int:
    """Return how many claims the log has."""
    kinds = [entry.record.kind for entry in world.log.store.entries('work')]
    return kinds.count('claim')


class TestOperators:
    """Of two concurrent edits of one row one wins, and both learn which."""

    def test_race(
        self, world: World, daemons: DaemonProcesses, pool: Pool
    ) -> None:
        replies = [
            pool.submit(self.change, world, host, number)
            for number, host in enumerate(HOSTS, start=1)
        ]
        answers = [reply.result() for reply in replies]
        by_outcome = {answer['outcome']: answer for answer in answers}
        assert set(by_outcome) == {'accepted', 'rejected'}
        winner = by_outcome['accepted']['offset']
        assert by_outcome['rejected']['winner'] == winner
        wait_until(
            lambda: {self.revision(world, host) for host in HOSTS} == {winner},
            'the winner in force',
        )

    def change(self, world: World, host: str, weight: int) -> dict[str, object]:
        """Change the weights, both from the first revision."""
        row = {'weights_by_version': {'small': weight, 'large': 1}}
        edit = {'key': 'model/pult-model', 'content': row, 'base_revision': 0}
        body = {'author': host, 'edits': [edit]}
        reply = self.operator(world, host).send('POST', '/table', body)
        return dict(msgspec.json.decode(reply.body))

    def revision(self, world: World, host: str) -> int:
        """Return the revision in force at a daemon."""
        reply = self.operator(world, host).send('GET', '/table', b'')
        return int(msgspec.json.decode(reply.body)['revision'])

    def operator(self, world: World, host: str) -> Caller:
        """Return an operator's connection to a daemon."""
        return Caller(world.address_of(host), OPERATOR_KEY, OPERATOR_PORT)
