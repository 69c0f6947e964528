"""Orders to engines, as they cross the wire."""

import enum

import msgspec

from marigoldhoist.components.leases.const import NO_FENCE


class OrderKind(enum.Enum):
    """What an engine is told to do."""

    LOAD_MODEL = 'load_model'
    CHANGE_ROLE = 'change_role'
    DRAIN = 'drain'

    @property
    def is_repeat_safe(self) -> bool:
        """Tell whether a late or second copy does no harm.

        A model that is loaded once more takes no work by itself; a late role
        or drain would undo a newer order.
        """
        return self is OrderKind.LOAD_MODEL


class EngineOrder(msgspec.Struct, frozen=True):
    """One order under a lease; the fence is its fencing number."""

    order_id: str
    kind: OrderKind
    argument: str
    lease: str
    fence: int


class OrderReply(msgspec.Struct, frozen=True):
    """An engine's answer to an order or a probe."""

    is_taken: bool
    checks_fence: bool = False
    highest_fence: int = NO_FENCE
