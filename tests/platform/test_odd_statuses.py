"""Answers whose status no response can have."""

import asyncio
from typing import Final

import pytest

from tests.platform.harness import running_gateway
from tools.platform_standins.http import (
    StandInServer,
    encode_response,
    read_request,
)

ROUNDS: Final = 5


class OddReplica(StandInServer):
    """Answers each request with the same status."""

    def __init__(self, status: str) -> None:
        super().__init__()
        self._status = status.encode()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request and close the connection."""
        request = await read_request(reader)
        if request is None:
            return
        headers = {
            'Request-Id': request.headers['request-id'],
            'Response-Seal': 's',
        }
        response = encode_response(200, headers, b'odd')
        writer.write(response.replace(b'200', self._status, 1))
        writer.write_eof()
        await reader.read()


class TestStatusOutOfRange:
    """A status that no response can have is no answer."""

    @pytest.mark.parametrize('status', ['000', '020', '099', '600', '999'])
    def test_caller_gets_no_such_status(self, status: str) -> None:
        async def scenario() -> set[int]:
            async with running_gateway() as gateway:
                replica = OddReplica(status)
                await gateway.replace_replicas('plain', replica)
                statuses = {
                    (await gateway.call('/unsafe/x')).status
                    for _ in range(ROUNDS)
                }
                replica.stop()
                return statuses

        assert asyncio.run(scenario()) == {502}
