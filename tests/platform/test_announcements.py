"""The whole gateway when replicas announce something about themselves."""

import asyncio

from tests.platform.harness import GatewayHarness, running_gateway
from tests.platform.test_restored_store import wait_until
from tools.platform_standins.replica import ReplicaFault
from tools.platform_standins.store import REPLICAS_TOPIC

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
# What a replica may get in a window: one and a half times its limit, and this.
BURST = 5
CALL_PAUSE_S = 0.01
CALLERS = 8
# A request is queued for a little longer than its call may take.
QUEUE_DEADLINE_MS = '300'
QUEUED_S = 0.305


async def call_for(harness: GatewayHarness, duration_s: float) -> list[int]:
    """Call the plain service for a time; return the statuses."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    statuses = []
    while loop.time() < end_s:
        statuses.append((await harness.call('/unsafe/x')).status)
        await asyncio.sleep(CALL_PAUSE_S)
    return statuses


class TestLimit:
    """A replica names the requests per second that it takes."""

    def test_replica_gets_no_more_than_it_takes(self) -> None:
        async def scenario() -> tuple[int, set[int]]:
            async with running_gateway() as harness:
                harness.replica_by_name['p1'].limit_per_s = LIMIT_PER_S
                await call_for(harness, 1)
                before = harness.run_count('p1')
                statuses = await call_for(harness, WINDOW_S)
                return harness.run_count('p1') - before, set(statuses)

        requests, statuses = asyncio.run(scenario())
        assert requests <= 1.5 * LIMIT_PER_S * WINDOW_S + BURST
        assert statuses == {200}


class TestLeaving:
    """A replica announces in its answers that it leaves."""

    def test_gets_no_new_requests(self) -> None:
        async def scenario() -> tuple[int, set[int]]:
            async with running_gateway() as harness:
                leaving = harness.replica_by_name['p1']
                leaving.is_leaving = True
                await call_for(harness, 0.5)
                leaving.is_leaving = False
                before = leaving.arrivals
                statuses = await call_for(harness, 0.5)
                return leaving.arrivals - before, set(statuses)

        assert asyncio.run(scenario()) == (0, {200})

    def test_calls_are_refused_once_all_replicas_leave(self) -> None:
        async def scenario() -> list[int]:
            async with running_gateway() as harness:
                for name in ('p1', 'p2'):
                    harness.replica_by_name[name].is_leaving = True
                return await call_for(harness, 0.5)

        statuses = asyncio.run(scenario())
        assert statuses[:2] == [200, 200]
        assert set(statuses[2:]) == {503}


async def call_from_many(harness: GatewayHarness, duration_s: float) -> None:
    """Call the plain service from several callers for a time."""
    await asyncio.gather(
        *(call_for(harness, duration_s) for _ in range(CALLERS))
    )


async def write_entry_anew(harness: GatewayHarness, name: str) -> None:
    """Remove the entry of a replica and write it again, as after a lapse."""
    entry = harness.replica_by_name[name].entry('plain')
    replica_by_host = harness.gateway.context.directory.replica_by_host
    await harness.store.put_raw(REPLICAS_TOPIC, name, b'')
    await wait_until(lambda: name not in replica_by_host)
    await harness.store.put(REPLICAS_TOPIC, name, entry)
    await wait_until(lambda: name in replica_by_host)


class TestEntryWrittenAnew:
    """What a replica announced holds until it is started anew."""

    def test_replica_that_wants_a_pause_gets_none_of_the_calls(self) -> None:
        async def scenario() -> int:
            async with running_gateway() as harness:
                closed = harness.replica_by_name['p1']
                closed.retry_after_s = 4.0
                closed.faults.append(ReplicaFault.SHED)
                while closed.faults:
                    await harness.call('/unsafe2/x')
                await write_entry_anew(harness, 'p1')
                before = closed.arrivals
                await call_from_many(harness, 1)
                return closed.arrivals - before

        assert asyncio.run(scenario()) == 0

    def test_replica_that_leaves_gets_none_of_the_calls(self) -> None:
        async def scenario() -> int:
            async with running_gateway() as harness:
                leaving = harness.replica_by_name['p1']
                leaving.is_leaving = True
                await call_for(harness, 0.5)
                await write_entry_anew(harness, 'p1')
                leaving.is_leaving = False
                before = leaving.arrivals
                await call_from_many(harness, 0.5)
                return leaving.arrivals - before

        assert asyncio.run(scenario()) == 0


class TestLateAnswer:
    """A replica turns a request away whose call has just ended."""

    def test_its_pause_is_learnt_all_the_same(self) -> None:
        async def scenario() -> int:
            async with running_gateway() as harness:
                closed = harness.replica_by_name['p1']
                closed.retry_after_s = 3.0
                closed.shed_delay_s = QUEUED_S
                closed.faults.append(ReplicaFault.SHED)
                while closed.faults:
                    await harness.call(
                        '/unsafe/x', Request_Deadline=QUEUE_DEADLINE_MS
                    )
                await asyncio.sleep(0.5)
                before = closed.arrivals
                await call_from_many(harness, 0.5)
                return closed.arrivals - before

        assert asyncio.run(scenario()) == 0


class TestTurnedAway:
    """A replica turns a request away and names a time."""

    def test_gets_no_requests_until_then(self) -> None:
        async def scenario() -> tuple[int, int]:
            async with running_gateway() as harness:
                closed = harness.replica_by_name['p1']
                closed.retry_after_s = 1.0
                closed.faults.append(ReplicaFault.SHED)
                while closed.faults:
                    await harness.call('/unsafe2/x')
                before = closed.arrivals
                await call_for(harness, 0.8)
                meanwhile = closed.arrivals - before
                await call_for(harness, 0.8)
                return meanwhile, closed.arrivals - before - meanwhile

        meanwhile, later = asyncio.run(scenario())
        assert meanwhile == 0
        assert later > 0
