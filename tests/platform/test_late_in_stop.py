"""Calls that are in flight or arrive while a daemon stops."""

import asyncio
from typing import Final

from tests.platform.harness import (
    CallerResponse,
    GatewayHarness,
    route,
    running_gateway,
)

# Longer than the grace period of a stop.
LONG_MS: Final = 20_000
CALL_PAUSE_S: Final = 0.05
CALLS_IN_STOP: Final = 30
# Time in which callers read the answers that were written.
READ_S: Final = 1.0


async def prepare(harness: GatewayHarness) -> None:
    """Make the plain replicas slow and allow calls to take long."""
    for name in ('p1', 'p2'):
        harness.replica_by_name[name].processing_s = LONG_MS / 1000
    long = {'timeout_ms': LONG_MS}
    routes = [
        route('safe', **long),
        route('unsafe', kind='unsafe', max_attempts=1, **long),
    ]
    await harness.change_configuration(2, routes=routes)


async def call(harness: GatewayHarness, path: str) -> CallerResponse:
    """Send a call that may take long."""
    return await harness.call(path, Request_Deadline=str(LONG_MS))


async def responses_in_stop(path: str) -> list[CallerResponse]:
    """Return what callers get before a stop and one after the other in it."""
    async with running_gateway() as harness:
        await prepare(harness)
        before = asyncio.create_task(call(harness, path))
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(harness.gateway.stop_gracefully())
        calls = [before]
        for _ in range(CALLS_IN_STOP):
            await asyncio.sleep(CALL_PAUSE_S)
            calls.append(asyncio.create_task(call(harness, path)))
        await stop
        # The process ends here, which would cut the others.
        await asyncio.wait(calls, timeout=READ_S)
        return [task.result() for task in calls if task.done()]


class TestSlowReplicas:
    """No answer comes before the end of the grace period."""

    def test_calls_that_may_not_be_repeated_are_not_cut(self) -> None:
        responses = asyncio.run(responses_in_stop('/unsafe/x'))
        assert len(responses) == CALLS_IN_STOP + 1
        assert responses[0].status == 504
        assert {response.status for response in responses[1:]} == {503}

    def test_calls_that_may_be_repeated_are_answered(self) -> None:
        responses = asyncio.run(responses_in_stop('/safe/x'))
        assert len(responses) == CALLS_IN_STOP + 1
        assert {response.status for response in responses} <= {503, 504}
