"""Answers that end while the upload is still being written."""

import asyncio
import contextlib
import socket
from typing import Final

import pytest

from tests.platform.harness import (
    CallerResponse,
    encode_request,
    running_gateway,
)
from tools.platform_standins.http import HEAD_END, StandInServer

UPLOAD_BYTES: Final = 3_000_000
READ_BYTES: Final = 200_000
HOLD_S: Final = 0.2
# A small buffer, so that the kernel does not take the whole upload.
RECEIVE_BUFFER_BYTES: Final = 32 * 1024
ROUNDS: Final = 5
PART: Final = b'a part of the answer'
HEAD: Final = 'HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\nResponse-Seal: s'


class EarlyReplica(StandInServer):
    """Answers without a length before the upload has come, and ends.

    It reads some of the upload first, and either resets the connection or
    ends the answer in order and resets it later.
    """

    def __init__(self, status: str, read_bytes: int, *, ends: bool) -> None:
        super().__init__()
        self._status = status
        self._read_bytes = read_bytes
        self._ends = ends

    async def start(self, host: str, port: int = 0) -> None:
        """Start listening with small buffers."""
        listener = socket.create_server((host, port))
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._server = await asyncio.start_server(self._accept, sock=listener)
        self.address = '{}:{}'.format(*listener.getsockname())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        head = (await reader.readuntil(HEAD_END)).decode()
        request_id = head.partition('Request-Id: ')[2].partition('\r\n')[0]
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readexactly(self._read_bytes)
        answer = HEAD.format(status=self._status, id=request_id)
        writer.write(b'%b\r\n\r\n%b' % (answer.encode(), PART))
        await writer.drain()
        if self._ends:
            writer.write_eof()
            await asyncio.sleep(HOLD_S)


def upload_to(
    replica: EarlyReplica, path: str, size_bytes: int = UPLOAD_BYTES
) -> list[CallerResponse]:
    """Return the responses to uploads that go to a replica."""

    async def scenario() -> list[CallerResponse]:
        async with running_gateway() as gateway:
            await gateway.replace_replicas('plain', replica)
            head = encode_request(path, Content_Length=str(size_bytes))
            raw = b'%b%b' % (head, bytes(size_bytes))
            responses = [await gateway.call_raw(raw) for _ in range(ROUNDS)]
            replica.stop()
            return responses

    return asyncio.run(scenario())


class TestUnfinishedUpload:
    """A part of an answer is not delivered as a complete one."""

    @pytest.mark.parametrize('path', ['/unsafe/x', '/safe/x'])
    @pytest.mark.parametrize('ends', [False, True])
    @pytest.mark.parametrize('read_bytes', [0, READ_BYTES])
    def test_answer_that_ends_meanwhile_is_not_complete(
        self, read_bytes: int, ends: bool, path: str
    ) -> None:
        replica = EarlyReplica('200', read_bytes, ends=ends)
        responses = upload_to(replica, path)
        assert {response.status for response in responses} == {502}

    def test_answer_that_ends_after_the_upload_is_complete(self) -> None:
        replica = EarlyReplica('200', READ_BYTES, ends=True)
        responses = upload_to(replica, '/unsafe/x', READ_BYTES)
        assert [response.body for response in responses] == [PART] * ROUNDS
