"""Daemons that cannot reach the store read from peers that can."""

import asyncio
from unittest import mock

from marigoldhoist.components.configuration.const import (
    COMPONENT as CONFIGURATION,
)
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.directory.const import COMPONENT as DIRECTORY
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.feeds.const import COMPONENT as FEEDS
from marigoldhoist.components.feeds.models import Topic
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.components.mirrors.const import COMPONENT as MIRRORS
from marigoldhoist.components.mirrors.findings import FindingExchange
from marigoldhoist.components.mirrors.membership import Member, Membership
from marigoldhoist.components.mirrors.models import DaemonInfo, ReadReply
from marigoldhoist.components.mirrors.peers import PeerClient
from marigoldhoist.components.mirrors.service import MirrorService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.kernel import Kernel
from tests.platform.harness import (
    TEST_TIMEOUT_S,
    configuration,
    daemon_section,
    running_gateway,
    start_kernel,
    wait_for_version,
)
from tools.platform_standins.store import OPERATOR_TOPIC
from tools.world.addresses import next_address


def start_isolated_kernel(seed: str) -> Kernel:
    """Return a started daemon whose store refuses connections."""
    own = next_address()
    return start_kernel(
        {
            'daemon': daemon_section('d2'),
            'mirrors': {'address': f'{own}:8083', 'seeds': [seed]},
            'store': {'address': f'{own}:1'},
        }
    )


class TestStoreUnreachable:
    """A daemon without the store, next to a peer that can reach it."""

    def test_receives_configuration_replicas_and_changes(self) -> None:
        async def scenario() -> tuple[float, float, set[str]]:
            async with running_gateway() as harness:
                kernel = start_isolated_kernel(harness.peers)
                await kernel.find(MIRRORS, MirrorService).listen()
                first_age_s = await wait_for_version(kernel, 1)
                await harness.store.put(
                    OPERATOR_TOPIC, 'config', configuration(9)
                )
                changed_age_s = await wait_for_version(kernel, 9)
                directory = kernel.find(DIRECTORY, DirectoryService)
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while len(directory.replica_by_host) < 4:
                        await asyncio.sleep(0.02)
                hosts = set(directory.replica_by_host)
                kernel.stop()
                return first_age_s, changed_age_s, hosts

        first_age_s, changed_age_s, hosts = asyncio.run(scenario())
        assert hosts == {'p1', 'p2', 'e1', 'e2'}
        assert max(first_age_s, changed_age_s) < TEST_TIMEOUT_S

    def test_age_grows_once_no_daemon_reaches_the_store(self) -> None:
        async def scenario() -> tuple[float, float]:
            async with running_gateway() as harness:
                kernel = start_isolated_kernel(harness.peers)
                await kernel.find(MIRRORS, MirrorService).listen()
                await wait_for_version(kernel, 1)
                harness.store.stop()
                await asyncio.sleep(1)
                service = kernel.find(CONFIGURATION, ConfigurationService)
                before_s = service.age_s
                await asyncio.sleep(1)
                after_s = service.age_s
                kernel.stop()
                return before_s, after_s

        before_s, after_s = asyncio.run(scenario())
        # No read confirms the configuration in the second between the samples.
        assert after_s >= before_s + 1


class TestTopicFollowedByAllAtOnce:
    """A reader that has just begun to follow a topic answers once it can."""

    def test_request_waits_for_the_first_read(self) -> None:
        async def scenario() -> int | None:
            async with running_gateway() as harness:
                feeds = harness.kernel.find(FEEDS, FeedService)
                order = {'service': 'model', 'target': 'v1', 'over_s': 20}
                harness.store.delay_s = 0.2
                await harness.store.put(OPERATOR_TOPIC, 'rollout/model', order)
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while Topic.STATUS not in feeds.feed_by_topic:
                        await asyncio.sleep(0)
                reply = await read_from(harness.peers, Topic.STATUS)
                return reply.end

        assert asyncio.run(scenario()) == 0

    def test_request_does_not_wait_for_a_daemon_without_sources(self) -> None:
        async def scenario() -> tuple[int | None, bool]:
            own = next_address()
            kernel = start_isolated_kernel(f'{own}:9')
            mirrors = kernel.find(MIRRORS, MirrorService)
            await mirrors.listen()
            feeds = kernel.find(FEEDS, FeedService)
            feed = feeds.feed_by_topic[Topic.OPERATOR]
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not feed.is_lost:
                    await asyncio.sleep(0.01)
            with mock.patch.object(feed, 'wait_for_records') as waiting:
                address = mirrors.membership.own.address
                reply = await read_from(address, Topic.OPERATOR)
            kernel.stop()
            return reply.end, waiting.called

        assert asyncio.run(scenario()) == (None, False)


async def read_from(address: str, topic: Topic) -> ReadReply:
    """Return a daemon's reply to a first read of a topic."""
    own = DaemonInfo('d3', '', 'here', 0)
    membership = Membership(own, SYSTEM_CLOCK.boottime_s)
    findings = FindingExchange('d3', 1, SYSTEM_CLOCK.boottime_s)
    client = PeerClient(membership, findings)
    try:
        return await client.read(
            Member('d1', address, 'here', 0), topic, wait_s=0.5
        )
    finally:
        client.close()
