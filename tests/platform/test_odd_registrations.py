"""An odd registration of another writer beside those of the replicas."""

import asyncio
import json
from typing import Any, Final

import pytest

from tests.platform.harness import (
    NESTED_DEEPLY,
    TEST_TIMEOUT_S,
    GatewayHarness,
    running_gateway,
)
from tools.platform_standins.store import REPLICAS_TOPIC

CALLS: Final = 40
ODD_FIELDS: Final[dict[str, dict[str, Any]]] = {
    'port-of-no-ascii-digit': {'address': '127.0.0.1:²'},
    'port-of-many-digits': {'address': f'127.0.0.1:{"1" * 5000}'},
    'port-out-of-range': {'address': '127.0.0.1:99999'},
    'address-with-nul': {'address': '127.0.0.1\x00:80'},
    'long-address': {'address': f'{"h" * 70_000}:80'},
    'slots-too-large': {'slots': 10**400},
    'start-too-large': {'born': 10**400},
}


async def statuses_after(harness: GatewayHarness, odd: bytes) -> list[int]:
    """Store an odd entry while a replica leaves; return what callers get."""
    directory = harness.gateway.context.directory
    # No await comes between the two, so that one read returns both.
    harness.store.topic_by_name[REPLICAS_TOPIC].append('odd', odd)
    await harness.store.put_raw(REPLICAS_TOPIC, 'p1', b'')
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while 'p1' in directory.replica_by_host:
            await asyncio.sleep(0.01)
    responses = [await harness.call('/safe/x') for _ in range(CALLS)]
    return [response.status for response in responses]


async def play(odd: bytes | dict[str, Any]) -> tuple[list[int], int]:
    """Return the statuses of calls and those that reached the gone replica."""
    async with running_gateway() as harness:
        if isinstance(odd, dict):
            entry = harness.replica_by_name['p2'].entry('plain')
            odd = json.dumps({**entry, **odd}).encode()
        statuses = await statuses_after(harness, odd)
        return statuses, harness.run_count('p1')


class TestOddRegistration:
    """The entries after it are applied, and it names no replica."""

    @pytest.mark.parametrize(
        'odd',
        (NESTED_DEEPLY, *ODD_FIELDS.values()),
        ids=('nested', *ODD_FIELDS),
    )
    def test_does_not_harm_the_others(
        self, odd: bytes | dict[str, Any]
    ) -> None:
        statuses, at_gone_replica = asyncio.run(play(odd))
        assert statuses == [200] * CALLS
        assert not at_gone_replica
