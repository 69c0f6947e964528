"""Deliver plain responses, each completely or not at all."""

from typing import Final

from marigoldhoist.components.configuration.models import RequestKind, Route
from marigoldhoist.components.gateway.attempts import Attempts
from marigoldhoist.components.gateway.context import GatewayContext
from marigoldhoist.components.gateway.deliveries import (
    ResponseWriter,
    register_delivery,
)
from marigoldhoist.components.gateway.progress import CallProgress

SERVER_ERROR_STATUSES: Final = range(500, 600)


@register_delivery(RequestKind.IDEMPOTENT, RequestKind.AT_MOST_ONCE)
class PlainDelivery:
    """Buffers the whole response before any of it is delivered."""

    def __init__(
        self,
        progress: CallProgress,
        attempts: Attempts,
        writer: ResponseWriter,
        _context: GatewayContext,
    ) -> None:
        self._progress = progress
        self._attempts = attempts
        self._writer = writer

    async def attempt(self, route: Route) -> bool:
        """Try one replica; return False if its failure is to be retried."""
        async with self._attempts.send() as response:
            body = await response.body()
            is_failure = response.head.status in SERVER_ERROR_STATUSES
            self._attempts.record_response(response, is_failure=is_failure)
            is_final = not is_failure or response.is_from_peer
            if not is_final and self._try_take_retry(route):
                return False
            self._progress.serving_host = response.replica.host
            head = response.head
        self._writer.end_with_response(head, body)
        return True

    def _try_take_retry(self, route: Route) -> bool:
        return route.is_repeatable and self._attempts.try_take_retry(route)
