"""The HTTP API for operators."""

from marigoldhoist.components.hosts.const import COMPONENT as HOSTS
from marigoldhoist.components.operator.const import COMPONENT
from marigoldhoist.components.operator.service import OperatorService
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(HOSTS, PEERS, TABLE))
def set_up(kernel: Kernel) -> OperatorService:
    """Create the service of the operator API."""
    return OperatorService(kernel)
