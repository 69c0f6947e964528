"""Callers that read nothing for a while when their answer is ready."""

import asyncio
import socket
from typing import Final

from tests.platform.harness import (
    HOST,
    TEST_TIMEOUT_S,
    CallerResponse,
    GatewayHarness,
    encode_request,
    route,
    running_gateway,
)
from tests.platform.stuttering_replica import read_response
from tools.platform_standins.http import (
    StandInServer,
    encode_response,
    read_request,
)

# More than the buffers of one connection hold.
LARGE_BYTES: Final = 7 * 1024 * 1024
RECEIVE_BUFFER_BYTES: Final = 64 * 1024
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
    host, _, port = harness.address.partition(':')
    connected = socket.socket()
    connected.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    connected.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connected, (host, int(port)))
    reader, writer = await asyncio.open_connection(
        sock=connected, limit=RECEIVE_BUFFER_BYTES
    )
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
