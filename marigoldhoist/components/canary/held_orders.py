"""Hold orders of a restored store that contradict the orders in force."""

import dataclasses
from collections.abc import Callable, Iterator

from marigoldhoist.components.canary.events import ORDER_HELD
from marigoldhoist.components.canary.models import RollOutOrder
from marigoldhoist.components.feeds.const import ERA_SETTLE_S
from marigoldhoist.core.events import emit


@dataclasses.dataclass(frozen=True, slots=True)
class HeldOrder:
    """An order and the boot time until which it is held."""

    order: RollOutOrder
    until_s: float


class HeldOrders:
    """Orders of a restored store, by service.

    Such an order is either older than the one in force, which the operator
    then writes again, or newer than the copy.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._held_by_service: dict[str, HeldOrder] = {}

    def hold(self, order: RollOutOrder, in_force: RollOutOrder) -> None:
        """Hold an order until lost records had time to be written again."""
        until_s = self._clock() + ERA_SETTLE_S
        self._held_by_service[order.service] = HeldOrder(order, until_s)
        emit(
            ORDER_HELD,
            service=order.service,
            target=order.target,
            in_force=in_force.target,
            for_s=ERA_SETTLE_S,
        )

    def drop(self, service: str) -> None:
        """Drop the held order of a service, as a newer record was read."""
        self._held_by_service.pop(service, None)

    def pop_due(self) -> Iterator[RollOutOrder]:
        """Yield the orders that were held long enough, and forget them."""
        now_s = self._clock()
        for service, held in tuple(self._held_by_service.items()):
            if now_s >= held.until_s:
                self._held_by_service.pop(service)
                yield held.order
