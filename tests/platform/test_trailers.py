"""Trailers behind a chunked body."""

import asyncio

from tests.platform.harness import (
    CallerResponse,
    encode_request,
    running_gateway,
)


def exchange(raw: bytes) -> CallerResponse:
    """Send bytes to a gateway and return the response."""

    async def scenario() -> CallerResponse:
        async with running_gateway() as gateway:
            return await gateway.call_raw(raw)

    return asyncio.run(scenario())


class TestTrailers:
    """Trailers are no headers."""

    def test_key_in_a_trailer_does_not_count(self) -> None:
        head = encode_request(
            '/unsafe/x', Transfer_Encoding='chunked', X_Api_Key='unknown'
        ).replace(b'X-Api-Key: unknown\r\n', b'')
        body = b'1\r\nx\r\n0\r\nX-Api-Key: k1\r\n\r\n'
        assert exchange(b'%b%b' % (head, body)).status == 401

    def test_trailer_after_a_body_is_dropped(self) -> None:
        head = encode_request('/unsafe/x', Transfer_Encoding='chunked')
        body = b'1\r\nx\r\n0\r\nX-Filler: filler\r\n\r\n'
        assert exchange(b'%b%b' % (head, body)).status == 200
