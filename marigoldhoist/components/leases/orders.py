"""Client that sends orders to engines under a lease."""

import dataclasses
import uuid
from typing import Protocol

import msgspec
import urllib3
from result import Err, Ok, Result

from marigoldhoist.components.leases.const import (
    HTTP_CONFLICT,
    HTTP_OK,
    MAX_HOSTS,
    MAX_PROCESS_PAUSE_S,
    ORDER_PATH,
    ORDER_TIMEOUT_S,
)
from marigoldhoist.components.leases.events import ORDER_REFUSED
from marigoldhoist.components.leases.order_models import (
    EngineOrder,
    OrderKind,
    OrderReply,
)
from marigoldhoist.core.decoding import decode_json
from marigoldhoist.core.events import emit
from marigoldhoist.core.http_client import new_pool
from marigoldhoist.core.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFailure:
    """Why an order failed, and whether the engine may have executed it."""

    reason: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after_s: float | None = None


class EngineAddress(Protocol):
    """Address at which an engine accepts orders."""

    @property
    def host(self) -> str:
        """Return the host name of the engine."""

    @property
    def address(self) -> str:
        """Return the IP address."""

    @property
    def port(self) -> int:
        """Return the TCP port."""


class HeldLease(Protocol):
    """Interface of the lease under which an order is sent."""

    @property
    def name(self) -> str:
        """Return the name of the lease."""

    @property
    def ttl_s(self) -> float:
        """Return the seconds from a grant or renewal to the expiry."""

    @property
    def held_s(self) -> float:
        """Return the seconds since acquisition."""

    @property
    def fence(self) -> int | None:
        """Return the fencing token, or None if the lease is not held."""


OrderResult = Result[OrderReply, OrderFailure]


class OrderSender:
    """Sends orders to engines.

    Before the first order to an engine it probes whether the engine checks
    fencing tokens, and caches the result.
    """

    def __init__(self) -> None:
        self._pool = new_pool(MAX_HOSTS)
        self._has_fencing_by_url: dict[str, bool] = {}

    def send(
        self,
        engine: EngineAddress,
        kind: OrderKind,
        argument: str,
        lease: HeldLease,
    ) -> OrderResult:
        """Send an order if the lease is held and sending is safe.

        An engine that does not check fencing tokens could still execute a
        delayed order of an earlier holder. It gets orders that are not repeat
        safe only when no earlier holder can still be paused.
        """
        url = f'http://{engine.address}:{engine.port}{ORDER_PATH}'
        has_fencing = self._has_fencing(url)
        if isinstance(has_fencing, Err):
            return Err(has_fencing.err_value)
        if not (has_fencing.ok_value or kind.is_repeat_safe):
            wait_s = lease.ttl_s + MAX_PROCESS_PAUSE_S - lease.held_s
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

    def _has_fencing(self, url: str) -> Result[bool, OrderFailure]:
        known = self._has_fencing_by_url.get(url)
        if known is not None:
            return Ok(known)
        probed = self._call('GET', url, None)
        if isinstance(probed, Err):
            # A probe has no side effect, so the order has not run.
            return Err(OrderFailure(probed.err_value.reason))
        self._has_fencing_by_url[url] = probed.ok_value.checks_fence
        return Ok(probed.ok_value.checks_fence)

    def _post(self, url: str, order: EngineOrder) -> OrderResult:
        response = self._call('POST', url, msgspec.json.encode(order))
        if isinstance(response, Err):
            # Another engine process may listen here by the next order, so the
            # engine is probed again.
            self._has_fencing_by_url.pop(url, None)
            return response
        reply = response.ok_value
        self._has_fencing_by_url[url] = reply.checks_fence
        if reply.is_taken:
            return response
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
            response = self._pool.request(
                method, url, body=body, timeout=ORDER_TIMEOUT_S
            )
        except urllib3.exceptions.NewConnectionError as refused:
            return Err(OrderFailure(str(refused)))
        except urllib3.exceptions.HTTPError as error:
            return Err(OrderFailure(str(error), Verdict.MAY_HAVE_RUN))
        if response.status not in {HTTP_OK, HTTP_CONFLICT}:
            return Err(
                OrderFailure(
                    f'the engine answered {response.status}',
                    Verdict.MAY_HAVE_RUN,
                )
            )
        return _decode_reply(response.data)


def _decode_reply(body: bytes) -> OrderResult:
    try:
        return Ok(decode_json(body, OrderReply))
    except msgspec.MsgspecError as error:
        return Err(OrderFailure(str(error), Verdict.MAY_HAVE_RUN))
