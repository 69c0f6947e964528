"""Delivery of responses to callers, by kind of route."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from marigoldhoist.components.configuration.models import RequestKind, Route
from marigoldhoist.components.gateway.attempts import Attempts
from marigoldhoist.components.gateway.connection import HttpConnection
from marigoldhoist.components.gateway.context import GatewayContext
from marigoldhoist.components.gateway.errors import AttemptError
from marigoldhoist.components.gateway.messages import (
    CLOSE_HEADER,
    Header,
    MessageHead,
    chunk_bytes,
    chunked_head_bytes,
    response_bytes,
)
from marigoldhoist.components.gateway.progress import CallProgress


class ResponseWriter:
    """Writes the response of one exchange to the caller.

    The end of a response is not waited for, so that no time limit of the call
    can end it after its last byte was handed to the connection. `flush` waits.
    """

    def __init__(
        self,
        connection: HttpConnection,
        context: GatewayContext,
        *,
        should_close: bool,
        extra_headers: Callable[[], list[Header]] = list,
    ) -> None:
        self._extra_headers = extra_headers
        self._connection = connection
        self._context = context
        self.should_close = should_close

    def end_with_response(self, head: MessageHead, body: bytes) -> None:
        """Write a complete response of a replica."""
        headers = self._headers(head)
        declared_length = '' if body else head.value(b'content-length')
        self.end_with(
            response_bytes(head.status, headers, body, declared_length)
        )

    async def write_stream_head(self, head: MessageHead) -> None:
        """Write the head of a stream."""
        headers = self._headers(head)
        await self._connection.write(chunked_head_bytes(head.status, headers))

    async def write_event(self, raw: bytes) -> None:
        """Write one event of a stream as a chunk."""
        await self._connection.write(chunk_bytes(raw))

    def end_with(self, rendered: bytes) -> None:
        """Write a whole response or its rest, which is already serialized."""
        self._connection.write_nowait(rendered)

    async def flush(self, timeout_s: float) -> None:
        """Wait until the caller has read most of the response.

        Raise TimeoutError if it takes longer.
        """
        async with asyncio.timeout(timeout_s):
            await self._connection.drain()

    def abort(self) -> None:
        """Abort the connection in the middle of a response."""
        self._connection.abort()

    def _headers(self, head: MessageHead) -> list[Header]:
        headers = self._context.dialect.response_headers(head)
        headers += self._extra_headers()
        if self.should_close:
            headers.append(CLOSE_HEADER)
        return headers


class Delivery(Protocol):
    """Serves one call of a particular kind of route."""

    async def attempt(self, route: Route) -> bool:
        """Try one replica; return False if another must be tried.

        Raise AttemptError if the replica gave no deliverable response.
        """


DeliveryFactory = Callable[
    [CallProgress, Attempts, ResponseWriter, GatewayContext], Delivery
]

delivery_by_kind: dict[RequestKind, DeliveryFactory] = {}


def register_delivery(
    *kinds: RequestKind,
) -> Callable[[DeliveryFactory], DeliveryFactory]:
    """Register a delivery class for kinds of route."""

    def register(factory: DeliveryFactory) -> DeliveryFactory:
        delivery_by_kind.update(dict.fromkeys(kinds, factory))
        return factory

    return register


async def deliver(route: Route, delivery: Delivery, attempts: Attempts) -> None:
    """Try replicas until a response is delivered.

    Raise RefusedError if no further attempt is allowed.
    """
    is_delivered = False
    while not is_delivered:
        try:
            is_delivered = await delivery.attempt(route)
        except AttemptError as error:
            attempts.record_failure(error)
            attempts.require_retry_allowed(route, error)
