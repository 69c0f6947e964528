"""Responses that break off, and failures that follow them."""

import asyncio

import pytest

from tests.platform.harness import CallerResponse, running_gateway
from tools.platform_standins.http import (
    StandInServer,
    encode_chunk,
    encode_response,
    read_request,
)

FAILURE_TEXT = b'the replica has failed'
EVENT = b'id: 1\ndata: event 1\n\n'


class ScriptedReplica(StandInServer):
    """Sends the next scripted response to each request and closes.

    The placeholder ID in a response becomes the id of the request.
    """

    def __init__(self, *responses: bytes) -> None:
        super().__init__()
        self._responses = list(responses)
        self.request_count = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request and close the connection."""
        request = await read_request(reader)
        if request is None or not self._responses:
            return
        self.request_count += 1
        request_id = request.headers['request-id'].encode()
        writer.write(self._responses.pop(0).replace(b'ID', request_id))
        await writer.drain()
        writer.write_eof()
        await reader.read()


def scripted_head(*lines: str) -> bytes:
    """Return the head of a signed success with further header lines."""
    head = ('HTTP/1.1 200 OK', 'Request-Id: ID', 'Response-Seal: s', *lines)
    return '\r\n'.join(head).encode()


BROKEN_STREAM = (
    scripted_head(
        'Content-Type: text/event-stream', 'Transfer-Encoding: chunked'
    )
    + b'\r\n\r\n'
    + encode_chunk(EVENT)
)
FAILURE = encode_response(
    500, {'Request-Id': 'ID', 'Response-Seal': 's'}, FAILURE_TEXT
)
FOREIGN_FAILURE = encode_response(500, {'Request-Id': 'other'}, FAILURE_TEXT)
UNFRAMED_FAILURE = (
    b'HTTP/1.1 500 Failed\r\nRequest-Id: ID\r\nResponse-Seal: s\r\n\r\n'
    + FAILURE_TEXT
)


def responses_of(
    service: str, path: str, *script: bytes
) -> tuple[CallerResponse, int]:
    """Return the response to one call and how often it was sent."""

    async def scenario() -> tuple[CallerResponse, int]:
        async with running_gateway() as harness:
            replica = ScriptedReplica(*script)
            await harness.replace_replicas(service, replica)
            call = harness.stream if service == 'model' else harness.call
            response = await call(path)
            replica.stop()
            return response, replica.request_count

    return asyncio.run(scenario())


class TestFailureAfterBrokenStream:
    """A stream that has begun ends visibly incomplete."""

    @pytest.mark.parametrize(
        'failure',
        (FAILURE, FOREIGN_FAILURE, UNFRAMED_FAILURE, b'HTTP/1.1 5'),
        ids=('failure', 'foreign', 'unframed', 'truncated'),
    )
    def test_text_of_the_failure_is_not_in_the_stream(
        self, failure: bytes
    ) -> None:
        response, sends = responses_of(
            'model', '/stream/x', BROKEN_STREAM, failure
        )
        assert sends > 1
        assert response.events == [1]
        assert FAILURE_TEXT not in response.body
        assert b'HTTP/1.1' not in response.body
        assert not response.is_complete


class TestTruncatedHead:
    """A response whose head has no end is none."""

    @pytest.mark.parametrize('path', ('/safe/x', '/unsafe/x'))
    @pytest.mark.parametrize(
        'head',
        (
            scripted_head(),
            scripted_head('Content-Le'),
            scripted_head('Content-Length: 10', ''),
            scripted_head('Content-Type: text/plain\r'),
        ),
    )
    def test_call_does_not_get_an_empty_success(
        self, path: str, head: bytes
    ) -> None:
        response, _ = responses_of('plain', path, head, head)
        assert response.status == 502

    def test_stream_does_not_get_an_empty_success(self) -> None:
        head = scripted_head('Content-Type: text/event-stream')
        response, _ = responses_of('model', '/once/x', head, head, head)
        assert response.status == 502
