"""The whole gateway after a version was rejected and another one ordered."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from marigoldhoist.components.canary.const import COMPONENT as CANARY
from marigoldhoist.components.canary.service import CanaryService
from marigoldhoist.components.directory.service import DirectoryService
from tests.platform.harness import GatewayHarness, running_gateway
from tests.platform.test_restored_store import stored_states, wait_until
from tests.platform.test_roll_outs import (
    FAILS,
    HEALTHY,
    ORDER,
    ORDER_KEY,
    roll_out_under_traffic,
)
from tools.platform_standins.store import (
    OPERATOR_TOPIC,
    REPLICAS_TOPIC,
    STATUS_TOPIC,
)

CALLS = 100
REJECTED = 'p3'
# The other daemons store what they know within this time.
SETTLE_S = 2.0


@contextlib.asynccontextmanager
async def rejected_then_ordered(
    *, has_next: bool = True
) -> AsyncIterator[GatewayHarness]:
    """Provide a gateway that rejected v2 before v3 was ordered.

    `has_next` is whether v3 has a replica.
    """
    async with roll_out_under_traffic(HEALTHY, FAILS) as harness:
        await wait_until(
            lambda: 'rolled_back' in stored_states(harness, ORDER_KEY)
        )
        if has_next:
            await harness.add_replica('p4', 'plain', version='v3')
        await harness.store.put(
            OPERATOR_TOPIC, ORDER_KEY, {**ORDER, 'target': 'v3', 'over_s': 60}
        )
        await asyncio.sleep(SETTLE_S)
        yield harness


async def calls_to_rejected(
    harness: GatewayHarness, later: GatewayHarness
) -> int:
    """Call a daemon without old replicas; count what the rejected one gets."""
    for name in ('p1', 'p2'):
        await harness.store.put_raw(REPLICAS_TOPIC, name, b'')
    directory = later.gateway.context.directory
    await wait_until(lambda: not _has_old(directory))
    before = harness.run_count(REJECTED)
    for _ in range(CALLS):
        await later.call('/unsafe/x')
    return harness.run_count(REJECTED) - before


async def calls_of_later_daemon(harness: GatewayHarness) -> int:
    """Start another daemon now; count what the rejected version gets of it."""
    later = GatewayHarness('d2')
    await later.join(harness)
    try:
        return await calls_to_rejected(harness, later)
    finally:
        later.kernel.stop()


def _has_old(directory: DirectoryService) -> bool:
    return 'v1' in directory.versions('plain')


class TestOnlyVersionLeft:
    """Calls are refused while only a rejected version has replicas."""

    def test_rejected_version_gets_no_calls(self) -> None:
        async def scenario() -> int:
            async with rejected_then_ordered(has_next=False) as harness:
                return await calls_to_rejected(harness, harness)

        assert asyncio.run(scenario()) == 0


class TestLateState:
    """Another daemon's roll-back is read after the next order."""

    def test_rejected_version_gets_no_calls(self) -> None:
        async def scenario() -> int:
            async with running_gateway() as harness:
                await harness.add_replica(REJECTED, 'plain', version='v2')
                await harness.wait_until_ready()
                roll_outs = harness.kernel.find(
                    CANARY, CanaryService
                ).roll_out_by_service
                await harness.store.put(OPERATOR_TOPIC, ORDER_KEY, ORDER)
                await wait_until(lambda: 'plain' in roll_outs)
                next_order = {**ORDER, 'target': 'v3', 'over_s': 60}
                await harness.store.put(OPERATOR_TOPIC, ORDER_KEY, next_order)
                await wait_until(
                    lambda: roll_outs['plain'].order.target == 'v3'
                )
                await harness.store.put(
                    STATUS_TOPIC,
                    ORDER_KEY,
                    {'state': 'rolled_back', 'target': 'v2'},
                )
                await asyncio.sleep(SETTLE_S)
                return await calls_to_rejected(harness, harness)

        assert asyncio.run(scenario()) == 0


class TestNextOrderAtOnce:
    """The next order comes as soon as the roll-back can be read."""

    def test_rejection_is_stored_with_the_roll_back(self) -> None:
        async def scenario() -> list[bool]:
            async with roll_out_under_traffic(HEALTHY, FAILS) as harness:
                topic = harness.store.topic_by_name[STATUS_TOPIC]
                await wait_until(
                    lambda: any(b'rolled_back' in raw for raw in topic.records)
                )
                return [b'rejected/' in raw for raw in topic.records]

        assert any(asyncio.run(scenario()))

    def test_daemon_that_starts_then_sends_no_calls(self) -> None:
        async def scenario() -> int:
            async with roll_out_under_traffic(HEALTHY, FAILS) as harness:
                topic = harness.store.topic_by_name[STATUS_TOPIC]
                await wait_until(
                    lambda: any(b'rolled_back' in raw for raw in topic.records)
                )
                await harness.add_replica('p4', 'plain', version='v3')
                next_order = {**ORDER, 'target': 'v3', 'over_s': 60}
                await harness.store.put(OPERATOR_TOPIC, ORDER_KEY, next_order)
                return await calls_of_later_daemon(harness)

        assert asyncio.run(scenario()) == 0


class TestDaemonThatStartsLater:
    """It has not seen the order under which a version was rejected."""

    def test_rejected_version_gets_no_calls(self) -> None:
        async def scenario() -> int:
            async with rejected_then_ordered() as harness:
                return await calls_of_later_daemon(harness)

        assert asyncio.run(scenario()) == 0

    def test_rejected_version_gets_no_calls_after_all_daemons_ended(
        self,
    ) -> None:
        async def scenario() -> int:
            async with rejected_then_ordered() as harness:
                harness.kernel.stop()
                return await calls_of_later_daemon(harness)

        assert asyncio.run(scenario()) == 0
