"""Replicas that are silent towards the store while they work."""

import asyncio

from tests.platform.harness import running_gateway
from tools.platform_standins.store import REPLICAS_TOPIC

EVENT_PAUSE_S = 0.2


class TestEntryThatLapses:
    """Work that runs at a replica goes on there to its end."""

    def test_stream_is_neither_given_up_nor_started_elsewhere(self) -> None:
        async def scenario() -> tuple[list[int], int]:
            async with running_gateway() as harness:
                for replica in harness.replica_by_name.values():
                    replica.event_pause_s = EVENT_PAUSE_S
                stream = asyncio.create_task(
                    harness.call('/stream/x', Model='m0', Token_Count='100,10')
                )
                await asyncio.sleep(EVENT_PAUSE_S * 1.5)
                for name in ('e1', 'e2'):
                    await harness.store.put_raw(REPLICAS_TOPIC, name, b'')
                response = await stream
                return response.events, harness.run_count('e')

        events, runs = asyncio.run(scenario())
        assert events == [1, 2, 3, 4]
        assert runs == 1
