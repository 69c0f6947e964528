"""Callers that read nothing for a while when their answer is ready."""

import asyncio
from typing import Final

from tests.platform.harness import (
    HOST,
    TEST_TIMEOUT_S,
    CallerResponse,
    GatewayHarness,
    encode_request,
    read_response,
    route,
    running_gateway,
)
from tools.platform_standins.http import (
    StandInServer,
    encode_response,
    read_request,
)
from tools.platform_standins.slow_client import (
    LARGE_BYTES,
    connect_with_small_buffer,
)

STALL_S: Final = 0.6
# Its timeout is shorter than the stall.
SHORT_ROUTE: Final = route('safe', timeout_ms=300)


class LargeReplica(StandInServer):
    """Answers at once with the path of the request and many bytes."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        request = await read_request(reader)
        while request is not None:
            headers = {
                'Request-Id': request.headers['request-id'],
                'Response-Seal': 'seal',
                'Keep-Alive': 'timeout=10',
            }
            body = request.path.encode().ljust(LARGE_BYTES, b'.')
            writer.write(encode_response(200, headers, body))
            request = await read_request(reader)


async def call_with_stalls(
    harness: GatewayHarness, paths: list[str]
) -> list[CallerResponse]:
    """Send calls on one connection, reading each answer only after a while."""
    reader, writer = await connect_with_small_buffer(harness.address)
    responses = []
    for path in paths:
        writer.write(encode_request(path, Connection='keep-alive'))
        await asyncio.sleep(STALL_S)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            responses.append(await read_response(reader))
    writer.close()
    return responses


class TestStalledCaller:
    """An answer that was ready in time is delivered, also late."""

    def test_gets_each_answer_once(self) -> None:
        # Guards against a failure that is written behind a whole answer.
        async def scenario() -> list[CallerResponse]:
            async with running_gateway() as harness:
                await harness.change_configuration(2, routes=[SHORT_ROUTE])
                replica = LargeReplica()
                await replica.start(HOST)
                await harness.replace_replicas('plain', replica)
                responses = await call_with_stalls(harness, paths)
                replica.stop()
                return responses

        paths = ['/safe/1', '/safe/2', '/safe/3']
        responses = asyncio.run(scenario())
        assert [response.status for response in responses] == [200] * 3
        bodies = [response.body.rstrip(b'.').decode() for response in responses]
        assert bodies == paths
