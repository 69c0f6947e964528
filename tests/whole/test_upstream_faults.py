"""What callers see when upstreams fail, stall, leave or cut streams."""

import threading
import uuid
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
import urllib3

from marigoldhoist.components.billing.models import Bill
from marigoldhoist.components.dispatch.const import CHAT_PATH
from marigoldhoist.components.platform_log.const import BILL_STREAM
from marigoldhoist.components.retries.const import MIN_HEDGE_SAMPLES
from marigoldhoist.components.upstreams.const import (
    COMPONENT as UPSTREAMS,
)
from marigoldhoist.components.upstreams.service import UpstreamService
from tools.standins.engine import EngineFaults, EngineServer
from tools.world.caller import Caller, CallerReply
from tools.world.samples import WORKSPACE_KEY, make_table_change
from tools.world.world import ENTRY_PORT, World, wait_until

SMALL = 'pult-model/small'
LARGE = 'pult-model/large'


@pytest.fixture
def world() -> Iterator[World]:
    """Start one daemon with two engines in two domains."""
    with World() as started:
        started.add_engine('engine-1', 'zg-trnje', SMALL, LARGE)
        started.add_engine('engine-2', 'zg-dubrava', SMALL, LARGE)
        started.add_daemon('entry-1', 'zg-trnje')
        yield started


@pytest.fixture
def near(world: World) -> EngineServer:
    """Return the engine of the daemon's own domain."""
    return world.engines_by_host['engine-1']


@pytest.fixture
def far(world: World) -> EngineServer:
    """Return the engine of the other domain."""
    return world.engines_by_host['engine-2']


def chat(world: World, **fields: Any) -> CallerReply:
    """Ask for a stream of ten tokens, unless told otherwise."""
    caller = Caller(world.address_of('entry-1'), WORKSPACE_KEY)
    return caller.chat(**({'max_tokens': 10} | fields))


def broken_chat(world: World) -> bytes:
    """Ask for a stream that breaks off, and return what came of it."""
    received: list[bytes] = []
    reply = urllib3.request(
        'POST',
        f'http://{world.address_of("entry-1")}:{ENTRY_PORT}{CHAT_PATH}',
        json={
            'model': 'pult-model',
            'messages': [],
            'stream': True,
            'max_tokens': 10,
        },
        headers={'Authorization': f'Bearer {WORKSPACE_KEY}'},
        preload_content=False,
        retries=False,
    )
    assert reply.status == 200, reply.data
    with pytest.raises(urllib3.exceptions.ProtocolError):
        received.extend(reply.read_chunked())
    return b''.join(received)


def words(body: bytes) -> list[int]:
    """Return the numbers of the words that a caller got."""
    numbers = []
    for line in body.splitlines():
        if line.startswith(b'data: {"choices"'):
            event = msgspec.json.decode(line.removeprefix(b'data: '))
            content = event['choices'][0]['delta']['content']
            numbers.append(int(content.strip().rpartition(':')[2]))
    return numbers


def bills(world: World) -> list[Bill]:
    """Return the bills on the log."""
    return [
        msgspec.json.decode(entry.record.body, type=Bill)
        for entry in world.log.store.entries(BILL_STREAM)
    ]


class TestBrokenStream:
    """A stream that broke off goes on at another replica, or says so."""

    @pytest.mark.parametrize(
        'faults',
        [EngineFaults(cut_after_tokens=4), EngineFaults(silent_after_tokens=4)],
        ids=['cut', 'silent'],
    )
    def test_resumed_whole_on_the_same_version(
        self,
        world: World,
        near: EngineServer,
        far: EngineServer,
        faults: EngineFaults,
    ) -> None:
        near.faults = faults
        reply = chat(world)
        assert reply.is_complete_stream
        assert words(reply.body) == list(range(10))
        assert [one.resume_from for one in far.served] == [4]
        assert far.served[0].serving == near.served[0].serving
        wait_until(lambda: len(bills(world)) == 1, 'one bill')
        assert (bills(world)[0].tokens, bills(world)[0].is_whole) == (10, True)

    def test_not_spliced_where_the_engine_starts_over(
        self, world: World, near: EngineServer, far: EngineServer
    ) -> None:
        near.faults = EngineFaults(cut_after_tokens=4)
        far.faults = EngineFaults(is_resume_ignored=True)
        assert words(broken_chat(world)) == list(range(4))
        wait_until(lambda: len(bills(world)) == 1, 'one bill')
        assert (bills(world)[0].tokens, bills(world)[0].is_whole) == (4, False)

    def test_not_resumed_on_a_withdrawn_version(
        self, world: World, near: EngineServer, far: EngineServer
    ) -> None:
        near.faults = EngineFaults(silent_after_tokens=4)
        withdrawn = {
            f'version/{name}': {'state': 'withdrawn'} for name in (SMALL, LARGE)
        }
        change = make_table_change(withdrawn, base_revision=0)
        bodies: list[bytes] = []
        asking = threading.Thread(
            target=lambda: bodies.append(broken_chat(world))
        )
        asking.start()
        wait_until(lambda: bool(near.served), 'the stream began')
        world.change_table(change)
        asking.join()
        assert words(bodies[0]) == list(range(4))
        assert not far.served


class TestLeaving:
    """A replica that says itself that it leaves gets no new work."""

    def test_refusal_is_retried_and_remembered(
        self, world: World, near: EngineServer, far: EngineServer
    ) -> None:
        near.faults = EngineFaults(is_leaving=True)
        replies = [chat(world) for _ in range(5)]
        assert all(reply.is_complete_stream for reply in replies)
        assert len(far.served) == 5
        assert not near.served

    def test_host_list_says_so(self, world: World, near: EngineServer) -> None:
        world.mark_leaving('engine-1')
        kernel = world.kernels_by_host['entry-1']
        upstreams = kernel.find(UPSTREAMS, UpstreamService)
        wait_until(
            lambda: len(upstreams.replicas_serving(SMALL)) == 1, 'one left'
        )
        assert all(chat(world).is_complete_stream for _ in range(5))
        assert not near.served


class TestLostReplicas:
    """Refused connections cost no answer."""

    def test_refused_connection_is_retried_at_once(
        self, world: World, near: EngineServer, far: EngineServer
    ) -> None:
        near.server.stop()
        replies = [chat(world) for _ in range(30)]
        assert all(reply.is_complete_stream for reply in replies)
        assert len(far.served) == 30

    def test_all_lost_is_told_as_not_run(
        self, world: World, near: EngineServer, far: EngineServer
    ) -> None:
        near.server.stop()
        far.server.stop()
        reply = chat(world)
        assert (reply.status, reply.verdict) == (502, 'not_run')


class TestBudget:
    """An outage is not amplified."""

    def test_failing_engines_get_few_retries(
        self, world: World, near: EngineServer, far: EngineServer
    ) -> None:
        near.faults = EngineFaults(fail_all=True)
        far.faults = EngineFaults(fail_all=True)
        replies = [chat(world) for _ in range(100)]
        assert all(reply.status == 502 for reply in replies)
        assert near.failed + far.failed < 130


class TestHedge:
    """A late first token is hedged, and the loser is cancelled."""

    def test_late_replica_loses(
        self, world: World, near: EngineServer, far: EngineServer
    ) -> None:
        # One session, so that every request runs on the same version: first
        # token delays are recorded for each version separately.
        session = {'X-Session': 'hedged'}
        for _ in range(MIN_HEDGE_SAMPLES * 2):
            chat(world, max_tokens=1, headers=session)
        # Late enough to lose also where this machine is busy.
        near.faults = EngineFaults(late_first_token_s=5)
        far_before = len(far.served)
        request_id = uuid.uuid4().hex
        reply = chat(world, headers=session | {'X-Request-Id': request_id})
        assert reply.is_complete_stream
        assert words(reply.body) == list(range(10))
        assert len(far.served) == far_before + 1
        wait_until(lambda: request_id in near.cancelled, 'the loser cancelled')
