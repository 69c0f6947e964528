"""The operators' HTTP interface."""

from marigoldhoist.components.operator.const import COMPONENT
from marigoldhoist.components.operator.service import OperatorService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(TABLE,))
def set_up(kernel: Kernel) -> OperatorService:
    """Create the operator service."""
    return OperatorService(kernel)
