"""A replica that sends something more after its answers, and its callers."""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Iterator
from typing import Final

from tests.platform.harness import (
    CallerResponse,
    GatewayHarness,
    encode_request,
    read_response,
    running_gateway,
)
from tools.platform_standins.http import (
    ReceivedRequest,
    StandInServer,
    encode_response,
    read_request,
)
from tools.platform_standins.stutters import StutteringWriter

STATUSES: Final = (200, 200, 500, 504)
SUCCESS: Final = 200
REFUSED: Final = 503
MAX_WORK_S: Final = 0.004
CALLERS: Final = 16
CALLS_PER_CALLER: Final = 20


class StutteringReplica(StandInServer):
    """Answers with varying statuses, every second time more than once.

    `answers_by_id` has the first answer of each run. A part of the requests is
    refused without a run if `refuses`.
    """

    def __init__(self, name: str, seed: int, *, refuses: bool = False) -> None:
        super().__init__()
        self._rng = random.Random(seed)
        self._writer = StutteringWriter(name, self._rng)
        self._refuses = refuses
        self.answers_by_id: dict[str, list[tuple[int, bytes]]] = {}

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        request = await read_request(reader)
        while request is not None:
            await asyncio.sleep(self._rng.uniform(0, MAX_WORK_S))
            answer = self._answer(request)
            self._writer.write(writer, answer)
            request = await read_request(reader)

    def _answer(self, request: ReceivedRequest) -> bytes:
        request_id = request.headers['request-id']
        headers = {'Request-Id': request_id, 'Keep-Alive': 'timeout=10'}
        if self._refuses and self._rng.random() < 0.5:
            return encode_response(REFUSED, {**headers, 'Not-Executed': '1'})
        status = self._rng.choice(STATUSES)
        body = f'answer to {request_id}'.encode()
        self.answers_by_id.setdefault(request_id, []).append((status, body))
        headers['Response-Seal'] = 'seal'
        return encode_response(status, headers, body)


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One call with its response."""

    path: str
    request_id: str
    response: CallerResponse


async def _run_caller(
    harness: GatewayHarness, number: int, exchanges: list[Exchange]
) -> None:
    """Send calls one after the other on kept connections."""
    host, _, port = harness.address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    for index in range(CALLS_PER_CALLER):
        path = ('/safe/x', '/unsafe/x', '/unsafe2/x')[(number + index) % 3]
        request_id = f'c{number}-{index}'
        headers = {'Request_Id': request_id, 'Connection': 'keep-alive'}
        writer.write(encode_request(path, **headers))
        response = await read_response(reader)
        exchanges.append(Exchange(path, request_id, response))
    writer.close()


async def call_stuttering_replica(
    replica: StutteringReplica,
) -> list[Exchange]:
    """Return the calls of several callers to one replica."""
    exchanges: list[Exchange] = []
    async with running_gateway() as harness:
        await harness.replace_replicas('plain', replica)
        async with asyncio.timeout(60):
            await asyncio.gather(
                *(
                    _run_caller(harness, number, exchanges)
                    for number in range(CALLERS)
                )
            )
        replica.stop()
    return exchanges


def faults_of(
    exchanges: list[Exchange], replica: StutteringReplica
) -> list[str]:
    """Return what callers got that no run of their requests had answered."""
    return list(
        itertools.chain.from_iterable(
            _exchange_faults(exchange, replica) for exchange in exchanges
        )
    )


def _exchange_faults(
    exchange: Exchange, replica: StutteringReplica
) -> Iterator[str]:
    response = exchange.response
    runs = replica.answers_by_id.get(exchange.request_id, [])
    is_from_replica = 'response-seal' in response.headers
    got = f'{exchange.path} {exchange.request_id}: {response.status}'
    if response.headers.get('request-id') != exchange.request_id:
        yield f'{got} of {response.headers}'
    is_of_a_run = (response.status, response.body) in runs
    if (response.status == SUCCESS or is_from_replica) and not is_of_a_run:
        yield f'{got} {response.body!r} after {runs}'
    if response.status == REFUSED and runs:
        yield f'{got} not run after {runs}'
    if 'unsafe' in exchange.path and len(runs) > 1:
        yield f'{got} ran {len(runs)} times'
