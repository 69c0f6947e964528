"""Deliver answers to callers: one way for each kind of route."""

from collections.abc import Callable
from typing import Protocol

from marigoldhoist.components.configuration.models import RequestKind, Route
from marigoldhoist.components.gateway.attempts import Attempts
from marigoldhoist.components.gateway.connection import HttpConnection
from marigoldhoist.components.gateway.context import GatewayContext
from marigoldhoist.components.gateway.errors import AttemptError
from marigoldhoist.components.gateway.messages import (
    Header,
    MessageHead,
    chunk_bytes,
    chunked_head_bytes,
    response_bytes,
)
from marigoldhoist.components.gateway.progress import CallProgress


class Caller:
    """The caller's end of an exchange."""

    def __init__(
        self,
        connection: HttpConnection,
        context: GatewayContext,
        *,
        closes: bool,
    ) -> None:
        self._connection = connection
        self._context = context
        self.closes = closes

    async def answer(self, head: MessageHead, body: bytes) -> None:
        """Deliver a whole answer of a replica."""
        headers = self._headers(head)
        told_length = '' if body else head.value(b'content-length')
        await self._connection.write(
            response_bytes(head.status, headers, body, told_length)
        )

    async def begin_stream(self, head: MessageHead) -> None:
        """Deliver the head of a stream."""
        headers = self._headers(head)
        await self._connection.write(chunked_head_bytes(head.status, headers))

    async def send_event(self, raw: bytes) -> None:
        """Deliver one event of a stream."""
        await self._connection.write(chunk_bytes(raw))

    async def send(self, rendered: bytes) -> None:
        """Deliver bytes as they are."""
        await self._connection.write(rendered)

    def cut(self) -> None:
        """End the connection in the middle of an answer."""
        self._connection.abort()

    def _headers(self, head: MessageHead) -> list[Header]:
        headers = self._context.dialect.response_headers(head)
        if self.closes:
            headers.append((b'Connection', b'close'))
        return headers


class Delivery(Protocol):
    """Serves one call of a kind of route."""

    async def attempt(self, route: Route) -> bool:
        """Try one replica; False where another is to be tried.

        AttemptError where the replica gave nothing that can be delivered.
        """


DeliveryFactory = Callable[
    [CallProgress, Attempts, Caller, GatewayContext], Delivery
]

delivery_by_kind: dict[RequestKind, DeliveryFactory] = {}


def delivers(
    *kinds: RequestKind,
) -> Callable[[DeliveryFactory], DeliveryFactory]:
    """Register the delivery of those kinds of route."""

    def register(make: DeliveryFactory) -> DeliveryFactory:
        delivery_by_kind.update(dict.fromkeys(kinds, make))
        return make

    return register


async def deliver(route: Route, delivery: Delivery, attempts: Attempts) -> None:
    """Try replicas until one answer is delivered; RefusedError for none."""
    is_delivered = False
    while not is_delivered:
        try:
            is_delivered = await delivery.attempt(route)
        except AttemptError as error:
            attempts.note_failed(error)
            attempts.require_another(route, error)
