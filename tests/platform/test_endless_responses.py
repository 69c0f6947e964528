"""Responses to callers when a replica sends bytes without end."""

import asyncio
import itertools

import pytest

from tests.platform.harness import (
    CallerResponse,
    GatewayHarness,
    running_gateway,
)
from tools.platform_standins.http import (
    ReceivedRequest,
    StandInServer,
    read_request,
)
from tools.platform_standins.store import REPLICAS_TOPIC

MIB = 1024 * 1024
# What a daemon may take of one response before it closes the connection, with
# the buffers of both sockets.
MAX_TAKEN_BYTES = 24 * MIB
# The stand-in gives up here, so that a daemon that takes everything ends too.
MAX_SENT_BYTES = 48 * MIB
BLOCK = b'x' * 65_536
STATUS_LINE = 'HTTP/1.1 200 OK\r\n'
SIGNED = 'Response-Seal: seal\r\n'
CHUNKED = 'Transfer-Encoding: chunked\r\n'

# The first bytes of each endless response, and those that are repeated.
# REQUEST_ID is replaced by the id of the request.
RESPONSES = {
    'header_lines': (STATUS_LINE, b'X-Filler: filler\r\n' * 2048),
    'header_line': (f'{STATUS_LINE}X-Filler: ', BLOCK),
    'interim': ('', b'HTTP/1.1 102 Processing\r\n\r\n' * 1024),
    'foreign': (
        '',
        b'HTTP/1.1 200 OK\r\nRequest-Id: f\r\nContent-Length: 1\r\n\r\nx' * 512,
    ),
    'refusal': (
        'HTTP/1.1 503 Busy\r\nRequest-Id: REQUEST_ID\r\n'
        'Not-Executed: 1\r\n\r\n',
        BLOCK,
    ),
    'body': (
        f'{STATUS_LINE}Request-Id: REQUEST_ID\r\n{SIGNED}\r\n',
        BLOCK,
    ),
    'failure': (
        f'HTTP/1.1 500 Failed\r\nRequest-Id: REQUEST_ID\r\n{SIGNED}\r\n',
        BLOCK,
    ),
    'trailers': (
        f'{STATUS_LINE}Request-Id: REQUEST_ID\r\n{SIGNED}{CHUNKED}'
        '\r\n1\r\nx\r\n0\r\n',
        b'X-Filler: filler\r\n' * 2048,
    ),
}


class EndlessReplica(StandInServer):
    """Answers each request without end, until its caller closes."""

    def __init__(self, prefix: str, block: bytes) -> None:
        super().__init__()
        self._prefix = prefix
        self._block = block
        self.requests: list[ReceivedRequest] = []
        self.sent_bytes = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send to one caller until it closes the connection."""
        request = await read_request(reader)
        if request is None:
            return
        self.requests.append(request)
        request_id = request.headers['request-id']
        writer.write(self._prefix.replace('REQUEST_ID', request_id).encode())
        while self.sent_bytes < MAX_SENT_BYTES:
            writer.write(self._block)
            await writer.drain()
            self.sent_bytes += len(self._block)
        await asyncio.sleep(3600)


async def call_endless(
    path: str, prefix: str, block: bytes
) -> tuple[CallerResponse, EndlessReplica]:
    """Call a service with one sound replica after an endless one."""
    service, names = (
        ('model', ('e1', 'e2')) if 'stream' in path else ('plain', ('p1', 'p2'))
    )
    async with running_gateway() as harness:
        replica = EndlessReplica(prefix, block)
        await replica.start('127.0.0.1')
        for name in names:
            harness.replica_by_name[name].processing_s = 0.01
            await harness.store.put_raw(REPLICAS_TOPIC, name, b'')
        sound = harness.replica_by_name[names[0]]
        entry = {**sound.entry(service), 'address': replica.address}
        await harness.store.put(REPLICAS_TOPIC, 'endless', entry)
        await _wait_for_hosts(harness, service, {'endless'})
        call = asyncio.create_task(
            harness.call(path, Model='m0', Token_Count='10,10')
        )
        while not replica.requests:
            await asyncio.sleep(0.01)
        await harness.store.put(REPLICAS_TOPIC, names[0], sound.entry(service))
        try:
            return await call, replica
        finally:
            replica.stop()


async def _wait_for_hosts(
    harness: GatewayHarness, service: str, hosts: set[str]
) -> None:
    directory = harness.gateway.context.directory
    for _ in itertools.count():
        usable = directory.usable(service)
        if {replica.host for replica in usable} == hosts:
            return
        await asyncio.sleep(0.01)


class TestEndlessResponse:
    """The daemon closes the connection and takes a bounded amount."""

    @pytest.mark.parametrize('kind', sorted(RESPONSES))
    def test_plain_call_takes_a_bounded_amount(self, kind: str) -> None:
        response, replica = asyncio.run(
            call_endless('/safe/x', *RESPONSES[kind])
        )
        assert replica.sent_bytes < MAX_TAKEN_BYTES
        assert response.status in {200, 502, 503}
        if response.status == 200:
            assert response.body.startswith(b'done by p')

    @pytest.mark.parametrize('kind', ('body', 'failure'))
    def test_body_is_not_taken_from_one_replica_twice(self, kind: str) -> None:
        _, replica = asyncio.run(call_endless('/safe/x', *RESPONSES[kind]))
        assert len(replica.requests) == 1

    def test_event_without_end_is_cut(self) -> None:
        head = (
            f'{STATUS_LINE}Request-Id: REQUEST_ID\r\n{SIGNED}'
            'Confidence: 90\r\n\r\nid: 1\ndata: '
        )
        response, replica = asyncio.run(call_endless('/stream/x', head, BLOCK))
        assert replica.sent_bytes < MAX_TAKEN_BYTES
        assert response.status in {200, 502}

    def test_at_most_once_call_fails_without_a_promise(self) -> None:
        response, _ = asyncio.run(
            call_endless('/unsafe2/x', *RESPONSES['header_lines'])
        )
        assert response.status == 502
