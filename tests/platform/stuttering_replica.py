"""A replica that sends something more after its answers, and its callers."""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Callable, Iterator
from typing import Final

from tests.platform.harness import (
    CallerResponse,
    GatewayHarness,
    encode_request,
    running_gateway,
)
from tools.platform_standins.http import (
    HEAD_END,
    ReceivedRequest,
    StandInServer,
    encode_response,
    read_request,
)

STATUSES: Final = (200, 200, 500, 504)
SUCCESS: Final = 200
REFUSED: Final = 503
MAX_WORK_S: Final = 0.004
MAX_LATE_S: Final = 0.05
CALLERS: Final = 16
CALLS_PER_CALLER: Final = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Stutter:
    """What a replica sends after an answer: at once, later, and after that."""

    at_once: bytes = b''
    late: bytes = b''
    rest: bytes = b''


StutterFactory = Callable[[bytes, random.Random], Stutter]
stutter_by_name: dict[str, StutterFactory] = {}


def register_stutter(factory: StutterFactory) -> StutterFactory:
    """Register what a replica sends after an answer, by the function's name."""
    stutter_by_name[factory.__name__] = factory
    return factory


def _part_of_head(answer: bytes, rng: random.Random) -> bytes:
    return answer[: rng.randrange(1, answer.index(HEAD_END) + len(HEAD_END))]


@register_stutter
def part_at_once(answer: bytes, rng: random.Random) -> Stutter:
    """Return the first part of a copy's head, in the same write."""
    return Stutter(at_once=_part_of_head(answer, rng))


@register_stutter
def part_late(answer: bytes, rng: random.Random) -> Stutter:
    """Return the first part of a copy's head."""
    return Stutter(late=_part_of_head(answer, rng))


@register_stutter
def copy_in_two_parts(answer: bytes, rng: random.Random) -> Stutter:
    """Return a copy whose head is interrupted."""
    part = _part_of_head(answer, rng)
    return Stutter(late=part, rest=answer[len(part) :])


@register_stutter
def copy_late(answer: bytes, _rng: random.Random) -> Stutter:
    """Return a whole copy."""
    return Stutter(late=answer)


@register_stutter
def other_status_late(answer: bytes, rng: random.Random) -> Stutter:
    """Return a second answer to the same request with another status."""
    status_line, _, others = answer.partition(b'\r\n')
    status = b'500' if b' 200 ' in status_line else b'200'
    changed = b'HTTP/1.1 %b Status\r\n%b' % (status, others)
    return Stutter(late=changed if rng.random() < 0.5 else answer)


class StutteringReplica(StandInServer):
    """Answers with varying statuses, every second time more than once.

    `answers_by_id` has the first answer of each run. A part of the requests is
    refused without a run if `refuses`.
    """

    def __init__(self, name: str, seed: int, *, refuses: bool = False) -> None:
        super().__init__()
        self._make_stutter = stutter_by_name[name]
        self._rng = random.Random(seed)
        self._refuses = refuses
        self._late: set[asyncio.Task[None]] = set()
        self.answers_by_id: dict[str, list[tuple[int, bytes]]] = {}

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        request = await read_request(reader)
        while request is not None:
            await asyncio.sleep(self._rng.uniform(0, MAX_WORK_S))
            answer = self._answer(request)
            stutter = Stutter()
            if self._rng.random() < 0.5:
                stutter = self._make_stutter(answer, self._rng)
            writer.write(answer + stutter.at_once)
            if stutter.late:
                task = asyncio.create_task(self._write_late(writer, stutter))
                self._late.add(task)
                task.add_done_callback(self._late.discard)
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

    async def _write_late(
        self, writer: asyncio.StreamWriter, stutter: Stutter
    ) -> None:
        for part in (stutter.late, stutter.rest):
            await asyncio.sleep(self._rng.uniform(0, MAX_LATE_S))
            if writer.is_closing():
                return
            writer.write(part)


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One call with its response; the status is 0 without a response."""

    path: str
    request_id: str
    response: CallerResponse


async def read_response(reader: asyncio.StreamReader) -> CallerResponse:
    """Read one response with a length."""
    head = await reader.readuntil(HEAD_END)
    length = int(CallerResponse(head).headers.get('content-length', '0'))
    return CallerResponse(head + await reader.readexactly(length))


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
