"""Test non-repeatable requests end to end, with two daemons and a service."""

import time
import uuid
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import pytest

from marigoldhoist.components.dispatch.service import DispatchService
from marigoldhoist.components.dispatch.stages import Stage
from marigoldhoist.components.table.service import TableService
from marigoldhoist.core.exchange import CallerRequest
from tools.standins.log import LogFaults
from tools.standins.plain import PlainFaults
from tools.world.caller import Caller, CallerReply
from tools.world.samples import WORKSPACE_KEY, make_table_change
from tools.world.world import World, wait_until


@pytest.fixture
def world() -> Iterator[World]:
    """Start two daemons and a plain service."""
    with World() as started:
        started.add_plain('plain-1', 'zg-trnje', 'pult-narudzbe')
        started.add_daemon('entry-1', 'zg-trnje')
        started.add_daemon('entry-2', 'zg-dubrava')
        wait_until(
            lambda: send_deposit(started, 'entry-1').status == 200, 'entry-1'
        )
        wait_until(
            lambda: send_deposit(started, 'entry-2').status == 200, 'entry-2'
        )
        started.plain_services_by_host['plain-1'].calls.clear()
        yield started


class PauseStage(Stage):
    """Stage that delays a request between its claim and its upstream call."""

    def __init__(self, pause_s: float) -> None:
        self._pause_s = pause_s

    def admit(self, _request: CallerRequest) -> None:
        """Sleep, then let the request pass."""
        time.sleep(self._pause_s)


def has_revision(world: World, offset: int) -> bool:
    """Return whether every daemon's table has that revision."""
    return all(
        kernel.find('table', TableService).state.revision == offset
        for kernel in world.kernels_by_host.values()
    )


def new_request_id() -> str:
    """Return a UUIDv7 with the current time."""
    now_ms = int(time.time() * 1000)
    random = uuid.uuid4().int & ((1 << 62) - 1)
    return str(uuid.UUID(int=(now_ms << 80) | (7 << 76) | (2 << 62) | random))


def send_deposit(world: World, host: str, request_id: str = '') -> CallerReply:
    """Send a non-repeatable request, a deposit, to a daemon."""
    return Caller(world.address_of(host), WORKSPACE_KEY).call_service(
        'pult-narudzbe/deposits',
        {'X-Request-Id': request_id or new_request_id()},
    )


class TestAtMostOnce:
    """Test that a deposit runs at most once and that its verdict is right."""

    def test_simultaneous_at_two_hosts(self, world: World) -> None:
        plain = world.plain_services_by_host['plain-1']
        plain.faults = PlainFaults(delay_s=0.3)
        request_id = new_request_id()
        hosts = ('entry-1', 'entry-2', 'entry-1', 'entry-2')
        with ThreadPoolExecutor(len(hosts)) as pool:
            send = partial(send_deposit, world, request_id=request_id)
            replies = list(pool.map(send, hosts))
        assert len(plain.calls) == 1
        assert sorted(reply.status for reply in replies) == [
            200,
            409,
            409,
            409,
        ]
        refused = [reply for reply in replies if reply.status == 409]
        assert {reply.verdict for reply in refused} == {'may_have_run'}

    def test_late_duplicate_gets_the_recorded_answer(
        self, world: World
    ) -> None:
        request_id = new_request_id()
        first = send_deposit(world, 'entry-1', request_id)
        wait_until(
            lambda: send_deposit(world, 'entry-2', request_id).status == 200,
            'the recorded answer',
        )
        assert send_deposit(world, 'entry-2', request_id).body == first.body
        assert len(world.plain_services_by_host['plain-1'].calls) == 1

    def test_request_with_lost_answer_is_not_sent_again(
        self, world: World
    ) -> None:
        plain = world.plain_services_by_host['plain-1']
        plain.faults = PlainFaults(lose_answer=True)
        request_id = new_request_id()
        first = send_deposit(world, 'entry-1', request_id)
        assert (first.status, first.verdict) == (502, 'may_have_run')
        plain.faults = PlainFaults()
        for host in ('entry-1', 'entry-2'):
            duplicate = send_deposit(world, host, request_id)
            assert (duplicate.status, duplicate.verdict) == (
                409,
                'may_have_run',
            )
        assert len(plain.calls) == 1

    def test_log_outage_refuses_and_the_retry_runs(self, world: World) -> None:
        world.set_log_faults(LogFaults(is_down=True))
        request_id = new_request_id()
        reply = send_deposit(world, 'entry-1', request_id)
        assert (reply.status, reply.verdict) == (503, 'not_run')
        assert reply.error_code == 'log_unavailable'
        assert not world.plain_services_by_host['plain-1'].calls
        world.set_log_faults(LogFaults())
        wait_until(
            lambda: send_deposit(world, 'entry-2', request_id).status == 200,
            'the retry',
        )
        assert len(world.plain_services_by_host['plain-1'].calls) == 1

    def test_holder_paused_past_its_deadline(self, world: World) -> None:
        kernel = world.kernels_by_host['entry-1']
        pause = PauseStage(1.2)
        kernel.find('dispatch', DispatchService).add_stage(50, pause)
        offset = world.change_table(
            make_table_change(
                {
                    'service/pult-narudzbe': {
                        'non_repeatable_paths': ['/deposits'],
                        'timeout_ms': 1000,
                    }
                },
                base_revision=0,
            )
        )
        wait_until(lambda: has_revision(world, offset), 'the timeout')
        request_id = new_request_id()
        reply = send_deposit(world, 'entry-1', request_id)
        assert (reply.status, reply.verdict) == (504, 'not_run')
        assert not world.plain_services_by_host['plain-1'].calls
        wait_until(
            lambda: send_deposit(world, 'entry-2', request_id).status == 200,
            'the retry elsewhere',
        )
        assert len(world.plain_services_by_host['plain-1'].calls) == 1

    def test_lost_append_responses(self, world: World) -> None:
        world.set_log_faults(LogFaults(lose_append_answer=0.5))
        request_ids = [new_request_id() for _ in range(6)]
        for request_id in request_ids:
            send_deposit(world, 'entry-1', request_id)
            send_deposit(world, 'entry-2', request_id)
        calls = world.plain_services_by_host['plain-1'].calls
        assert len(calls) == len({call.request_id for call in calls})
