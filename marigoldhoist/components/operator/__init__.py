"""The operators' HTTP interface."""

from marigoldhoist.components.billing.const import COMPONENT as BILLING
from marigoldhoist.components.operator.const import COMPONENT
from marigoldhoist.components.operator.service import OperatorService
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(BILLING, LOG, PEERS, TABLE))
def set_up(kernel: Kernel) -> OperatorService:
    """Create the operator service."""
    return OperatorService(kernel)
