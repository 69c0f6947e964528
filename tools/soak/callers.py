"""Callers that reuse a keep-alive connection until the daemon closes it."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Sequence

from marigoldhoist.core.identity import split_address
from tools.soak.checks import STREAM_KINDS, Observations, ObservedCall
from tools.soak.const import CALL_TIMEOUT_S, MAX_CALL_PAUSE_S
from tools.soak.daemons import DaemonProcess

HEAD_END = b'\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
# Share of the completed calls after which a caller reconnects.
RECONNECT_PROBABILITY = 0.05


class Caller:
    """Sends requests one at a time, mostly on one keep-alive connection."""

    def __init__(
        self,
        name: str,
        daemons: Sequence[DaemonProcess],
        observations: Observations,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._daemons = daemons
        self._observations = observations
        self._rng = rng
        self._sequence = itertools.count(1)
        self._daemon = daemons[0]
        self._connection: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None
        self.keys = ['kept']
        self.is_affected_by_fault = False

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await self.call(self._rng.choice(('safe', 'unsafe', 'stream')))
            await asyncio.sleep(MAX_CALL_PAUSE_S * self._rng.random())

    async def call(self, kind: str) -> None:
        """Send one request and record what came of it."""
        request_id = f'{self._name}-{next(self._sequence)}'
        loop = asyncio.get_running_loop()
        call = ObservedCall(
            request_id, kind, self._rng.choice(self.keys), loop.time()
        )
        call.is_affected_by_fault = self.is_affected_by_fault
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await self._connect()
                call.sent_s = loop.time()
                writer.write(encode_request(call, f'/{kind}/x'))
                await read_response(reader, call)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.disconnect()
        call.ended_s = loop.time()
        call.was_daemon_stopping = self._daemon.is_stopping
        call.is_affected_by_fault |= (
            self.is_affected_by_fault
            or self._daemon.had_fault_since(call.sent_s)
        )
        self._observations.calls.append(call)
        if not call.is_complete or self._rng.random() < RECONNECT_PROBABILITY:
            self.disconnect()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._connection is None:
            self._daemon = self._rng.choice(self._daemons)
            host, port = split_address(self._daemon.caller_address)
            self._connection = await asyncio.open_connection(host, port)
        return self._connection

    def disconnect(self) -> None:
        """Abort the connection if there is one."""
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None


def encode_request(call: ObservedCall, path: str) -> bytes:
    """Return the request of a call for a path."""
    method = 'GET' if call.kind == 'safe' else 'POST'
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: calls.example',
        f'Request-Id: {call.request_id}',
        'Request-Deadline: 6000',
        f'X-Api-Key: {call.key}',
    ]
    if call.kind in STREAM_KINDS:
        lines += ['Model: *', 'Token-Count: 100,10']
    return '\r\n'.join(lines).encode() + HEAD_END


async def read_response(
    reader: asyncio.StreamReader, call: ObservedCall
) -> None:
    """Read a response and record it in the call."""
    head = (await reader.readuntil(HEAD_END)).decode('latin-1')
    lines = head.lower().split('\r\n')
    call.status = int(lines[0].split(' ')[1])
    headers = dict(line.split(': ', 1) for line in lines[1:] if ': ' in line)
    call.answered_id = headers.get('request-id', '')
    call.response_seal = headers.get('response-seal', '')
    length = headers.get('content-length')
    if length is not None:
        await reader.readexactly(int(length))
        call.is_complete = True
        return
    body = b''
    with contextlib.suppress(asyncio.IncompleteReadError):
        while not call.is_complete:
            body += await reader.readuntil(b'\r\n')
            call.is_complete = body.endswith(LAST_CHUNK)
            call.events = _parse_event_ids(body)


def _parse_event_ids(body: bytes) -> tuple[int, ...]:
    return tuple(
        int(line[3:])
        for line in body.split(b'\n')
        if line.startswith(b'id:') and line[3:].strip().isdigit()
    )
