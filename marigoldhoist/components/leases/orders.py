"""Give orders to engines under a lease."""

import dataclasses
import uuid
from typing import Protocol

import msgspec
import urllib3
from result import Err, Ok, Result

from marigoldhoist.components.leases.const import (
    HTTP_CONFLICT,
    HTTP_OK,
    LARGEST_PAUSE_S,
    ORDER_PATH,
    ORDER_TIMEOUT_S,
)
from marigoldhoist.components.leases.events import ORDER_REFUSED
from marigoldhoist.components.leases.order_models import (
    EngineOrder,
    OrderKind,
    OrderReply,
)
from marigoldhoist.core.events import emit
from marigoldhoist.core.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFailure:
    """Why an order was not taken, and whether it may have been."""

    reason: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after_s: float | None = None


class EngineAddress(Protocol):
    """Where an engine takes orders."""

    @property
    def host(self) -> str:
        """Return the engine's host name."""

    @property
    def address(self) -> str:
        """Return its IP number."""

    @property
    def port(self) -> int:
        """Return its port."""


class HeldLease(Protocol):
    """What an order needs of a lease."""

    @property
    def name(self) -> str:
        """Return the lease's name."""

    @property
    def ttl_s(self) -> float:
        """Return how long it lasts without renewal."""

    @property
    def held_s(self) -> float:
        """Return how long it has been held."""

    @property
    def fence(self) -> int | None:
        """Return the fencing number, or none where it is not held."""


OrderResult = Result[OrderReply, OrderFailure]


class OrderSender:
    """Sends orders, and learns on meeting an engine whether it checks them."""

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(retries=False)
        self._checks_by_url: dict[str, bool] = {}

    def send(
        self,
        engine: EngineAddress,
        kind: OrderKind,
        argument: str,
        lease: HeldLease,
    ) -> OrderResult:
        """Give an order if the lease is held and the engine may have it."""
        url = f'http://{engine.address}:{engine.port}{ORDER_PATH}'
        checks = self._checks(url)
        if isinstance(checks, Err):
            return Err(checks.err_value)
        if not (checks.ok_value or kind.is_repeat_safe):
            wait_s = lease.ttl_s + LARGEST_PAUSE_S - lease.held_s
            if wait_s > 0:
                return Err(
                    OrderFailure(
                        'an earlier holder may still be paused',
                        retry_after_s=wait_s,
                    )
                )
        fence = lease.fence
        if fence is None:
            return Err(OrderFailure(f'lease {lease.name} is not held'))
        order = EngineOrder(uuid.uuid4().hex, kind, argument, lease.name, fence)
        return self._post(url, order)

    def _checks(self, url: str) -> Result[bool, OrderFailure]:
        known = self._checks_by_url.get(url)
        if known is not None:
            return Ok(known)
        probed = self._call('GET', url, None)
        if isinstance(probed, Err):
            # A probe has no effect, so the order was surely not taken.
            return Err(OrderFailure(probed.err_value.reason))
        self._checks_by_url[url] = probed.ok_value.checks_fence
        return Ok(probed.ok_value.checks_fence)

    def _post(self, url: str, order: EngineOrder) -> OrderResult:
        answered = self._call('POST', url, msgspec.json.encode(order))
        if isinstance(answered, Err):
            # The engine may be another process by the next order.
            self._checks_by_url.pop(url, None)
            return answered
        reply = answered.ok_value
        self._checks_by_url[url] = reply.checks_fence
        if reply.is_taken:
            return answered
        emit(
            ORDER_REFUSED,
            lease=order.lease,
            fence=order.fence,
            highest=reply.highest_fence,
        )
        return Err(
            OrderFailure(f'the engine has met fence {reply.highest_fence}')
        )

    def _call(self, method: str, url: str, body: bytes | None) -> OrderResult:
        try:
            answer = self._pool.request(
                method, url, body=body, timeout=ORDER_TIMEOUT_S
            )
        except urllib3.exceptions.NewConnectionError as refused:
            return Err(OrderFailure(str(refused)))
        except urllib3.exceptions.HTTPError as error:
            return Err(OrderFailure(str(error), Verdict.MAY_HAVE_RUN))
        if answer.status not in {HTTP_OK, HTTP_CONFLICT}:
            return Err(
                OrderFailure(
                    f'the engine answered {answer.status}',
                    Verdict.MAY_HAVE_RUN,
                )
            )
        return _decoded(answer.data)


def _decoded(body: bytes) -> OrderResult:
    try:
        return Ok(msgspec.json.decode(body, type=OrderReply))
    except msgspec.MsgspecError as error:
        return Err(OrderFailure(str(error), Verdict.MAY_HAVE_RUN))
