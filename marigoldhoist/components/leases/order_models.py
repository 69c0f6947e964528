"""Wire format of the orders to engines."""

import enum

import msgspec

from marigoldhoist.components.leases.const import NO_FENCE


class OrderKind(enum.Enum):
    """Operation that an order requests of an engine."""

    LOAD_MODEL = 'load_model'
    CHANGE_ROLE = 'change_role'
    DRAIN = 'drain'

    @property
    def is_repeat_safe(self) -> bool:
        """Return whether a delayed or duplicate order is harmless.

        Loading a model again attracts no requests by itself, whereas a
        delayed role change or drain would undo a newer order.
        """
        return self is OrderKind.LOAD_MODEL


class EngineOrder(msgspec.Struct, frozen=True):
    """An order sent under a lease, with the fencing token of that lease."""

    order_id: str
    kind: OrderKind
    argument: str
    lease: str
    fence: int


class OrderReply(msgspec.Struct, frozen=True):
    """Response of an engine to an order or to a probe for fencing support."""

    is_taken: bool
    checks_fence: bool = False
    highest_fence: int = NO_FENCE
