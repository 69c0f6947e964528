"""Second copies of answers that come late, on a connection in use again."""

import asyncio

import pytest

from tests.platform.harness import CallerResponse, running_gateway
from tools.platform_standins.http import (
    ReceivedRequest,
    StandInServer,
    encode_response,
    read_request,
)
from tools.platform_standins.store import REPLICAS_TOPIC

CALLS = 8


class RepeatingReplica(StandInServer):
    """Sends its last answer again once the next request has come."""

    def __init__(self, copies: int) -> None:
        super().__init__()
        self._copies = copies
        self.reused_connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection with their paths."""
        last = b''
        while True:
            request = await read_request(reader)
            if request is None:
                return
            self.reused_connections += bool(last)
            writer.write(last * self._copies)
            await asyncio.sleep(0.01)
            last = _answer(request)
            writer.write(last)


def _answer(request: ReceivedRequest) -> bytes:
    headers = {
        'Request-Id': request.headers['request-id'],
        'Response-Seal': 'seal',
        'Keep-Alive': 'timeout=10',
    }
    return encode_response(200, headers, request.path.encode())


@pytest.mark.parametrize('copies', (1, 3))
@pytest.mark.parametrize('route', ('safe', 'unsafe'))
class TestLateCopy:
    """Each caller gets the answer to its own request."""

    def test_next_caller_gets_its_own_answer(
        self, route: str, copies: int
    ) -> None:
        paths = [f'/{route}/{number}' for number in range(CALLS)]

        async def scenario() -> tuple[list[CallerResponse], int]:
            async with running_gateway() as harness:
                replica = RepeatingReplica(copies)
                await replica.start('127.0.0.1')
                entry = harness.replica_by_name['p1'].entry('plain')
                entry['address'] = replica.address
                for name in ('p1', 'p2'):
                    await harness.store.put_raw(REPLICAS_TOPIC, name, b'')
                await harness.store.put(REPLICAS_TOPIC, 'repeating', entry)
                directory = harness.gateway.context.directory
                async with asyncio.timeout(5):
                    while directory.replica_by_host.keys() & {'p1', 'p2'}:
                        await asyncio.sleep(0.01)
                responses = [await harness.call(path) for path in paths]
                replica.stop()
                return responses, replica.reused_connections

        responses, reused = asyncio.run(scenario())
        assert reused > 0
        assert [response.body.decode() for response in responses] == paths
