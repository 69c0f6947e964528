"""Deliver plain answers, each whole or not at all."""

from typing import Final

from marigoldhoist.components.configuration.models import RequestKind, Route
from marigoldhoist.components.gateway.attempts import Attempts
from marigoldhoist.components.gateway.context import GatewayContext
from marigoldhoist.components.gateway.deliveries import Caller, delivers
from marigoldhoist.components.gateway.progress import CallProgress

SERVER_FAILURES: Final = range(500, 600)


@delivers(RequestKind.IDEMPOTENT, RequestKind.AT_MOST_ONCE)
class PlainDelivery:
    """Reads an answer to its end before the caller gets any of it."""

    def __init__(
        self,
        progress: CallProgress,
        attempts: Attempts,
        caller: Caller,
        _context: GatewayContext,
    ) -> None:
        self._progress = progress
        self._attempts = attempts
        self._caller = caller

    async def attempt(self, route: Route) -> bool:
        """Try one replica; False where its failure is worth another try."""
        async with self._attempts.sent() as answer:
            body = await answer.body()
            is_failure = answer.head.status in SERVER_FAILURES
            self._attempts.note_answer(answer, is_failure=is_failure)
            if is_failure and self._is_worth_another(route):
                return False
            self._progress.served_by = answer.replica.host
            head = answer.head
        await self._caller.answer(head, body)
        return True

    def _is_worth_another(self, route: Route) -> bool:
        return route.is_repeatable and self._attempts.may_send_again(route)
