"""Requests that are refused before their body has come."""

import asyncio
from typing import Final

import pytest

from tests.platform.harness import (
    CallerResponse,
    encode_request,
    exchange_bytes,
    running_gateway,
)

MAX_BODY_BYTES: Final = 4_194_304
LARGE: Final = {'Content_Length': str(MAX_BODY_BYTES)}
CASES: Final = {
    'unknown_key': (401, '/unsafe/x', {**LARGE, 'X_Api_Key': 'unknown'}),
    'unknown_route': (404, '/none/x', LARGE),
    'too_large': (413, '/unsafe/x', {'Content_Length': '4194305'}),
    'expecting': (
        401,
        '/unsafe/x',
        {**LARGE, 'X_Api_Key': 'unknown', 'Expect': '100-continue'},
    ),
    'chunked': (
        401,
        '/unsafe/x',
        {'Transfer_Encoding': 'chunked', 'X_Api_Key': 'unknown'},
    ),
}


def exchange(raw: bytes, *, with_handover: bool = False) -> CallerResponse:
    """Send bytes to a gateway and return the response."""

    async def scenario() -> CallerResponse:
        async with running_gateway() as gateway:
            address = gateway.handover if with_handover else gateway.address
            return await exchange_bytes(address, raw)

    return asyncio.run(scenario())


class TestHeadAlone:
    """The head is enough to refuse what cannot be served."""

    @pytest.mark.parametrize('with_handover', [False, True])
    @pytest.mark.parametrize('name', CASES)
    def test_body_is_not_waited_for(
        self, name: str, with_handover: bool
    ) -> None:
        status, path, headers = CASES[name]
        response = exchange(
            encode_request(path, **headers), with_handover=with_handover
        )
        assert response.status == status

    def test_caller_that_sends_on_gets_the_refusal(self) -> None:
        _, path, headers = CASES['unknown_key']
        raw = encode_request(path, **headers) + b'x' * MAX_BODY_BYTES
        assert exchange(raw).status == 401

    @pytest.mark.parametrize(
        ('path', 'expected'), [('ready', 413), ('metrics', 413)]
    )
    def test_other_listeners_take_no_body(
        self, path: str, expected: int
    ) -> None:
        async def scenario() -> int:
            async with running_gateway() as gateway:
                address = {
                    'ready': gateway.readiness,
                    'metrics': gateway.metrics,
                }[path]
                raw = encode_request(f'/{path}', **LARGE)
                return (await exchange_bytes(address, raw)).status

        assert asyncio.run(scenario()) == expected
