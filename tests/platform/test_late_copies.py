"""Second copies of responses that come late, on a connection in use again."""

import asyncio

import pytest

from tests.platform.harness import CallerResponse, running_gateway
from tests.platform.repeating_server import RepeatingServer
from tools.platform_standins.http import (
    ReceivedRequest,
    StandInServer,
    encode_response,
    read_request,
)

CALLS = 8


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
                replica = RepeatingServer(_answer, copies)
                await harness.replace_replicas('plain', replica)
                responses = [await harness.call(path) for path in paths]
                replica.stop()
                return responses, replica.reused_connections

        responses, reused = asyncio.run(scenario())
        assert reused > 0
        assert [response.body.decode() for response in responses] == paths


class RefusalRepeatingReplica(StandInServer):
    """Refuses the first request of a connection and repeats the refusal.

    Later requests run, and the copy of the refusal comes before their answers.
    The copy has an id if `is_copy_named`.
    """

    def __init__(self, *, is_copy_named: bool) -> None:
        super().__init__()
        self._is_copy_named = is_copy_named
        self.executed_ids: list[str] = []
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self.connections += 1
        refused = await read_request(reader)
        if refused is None:
            return
        headers = {
            'Request-Id': refused.headers['request-id'],
            'Not-Executed': '1',
            'Keep-Alive': 'timeout=10',
        }
        writer.write(encode_response(503, headers))
        if not self._is_copy_named:
            headers.pop('Request-Id')
        request = await read_request(reader)
        while request is not None:
            self.executed_ids.append(request.headers['request-id'])
            writer.write(encode_response(503, headers))
            await asyncio.sleep(0.01)
            writer.write(_answer(request))
            request = await read_request(reader)


def expected_status(is_copy_named: bool) -> int:
    """Return the status of a call whose answer follows a copied refusal.

    Whose refusal a copy without an id repeats is unknown.
    """
    return 200 if is_copy_named else 502


@pytest.mark.parametrize('is_copy_named', (True, False))
class TestRepeatedRefusal:
    """A copy of an earlier refusal says nothing of a request that runs."""

    def test_running_call_is_not_reported_as_not_run(
        self, is_copy_named: bool
    ) -> None:
        responses, replica = self._call_twice('/unsafe/x', is_copy_named)
        assert replica.connections == 1
        statuses = [response.status for response in responses]
        assert statuses == [503, expected_status(is_copy_named)]

    def test_call_that_is_sent_again_is_not_reported_as_not_run(
        self, is_copy_named: bool
    ) -> None:
        responses, replica = self._call_twice('/safe/x', is_copy_named)
        assert replica.executed_ids
        refused_ids = {
            response.headers['request-id']
            for response in responses
            if response.status == 503
        }
        assert refused_ids.isdisjoint(replica.executed_ids)
        assert responses[-1].status == expected_status(is_copy_named)

    def _call_twice(
        self, path: str, is_copy_named: bool
    ) -> tuple[list[CallerResponse], RefusalRepeatingReplica]:
        async def scenario() -> tuple[
            list[CallerResponse], RefusalRepeatingReplica
        ]:
            async with running_gateway() as harness:
                replica = RefusalRepeatingReplica(is_copy_named=is_copy_named)
                await harness.replace_replicas('plain', replica)
                responses = [await harness.call(path) for _ in range(2)]
                replica.stop()
                return responses, replica

        return asyncio.run(scenario())
