"""Choose the version and the replica for a request."""

from marigoldhoist.components.quality.const import COMPONENT as QUALITY
from marigoldhoist.components.routing.const import COMPONENT
from marigoldhoist.components.routing.service import RoutingService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.upstreams.const import COMPONENT as UPSTREAMS
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(QUALITY, TABLE, UPSTREAMS))
def set_up(kernel: Kernel) -> RoutingService:
    """Create the routing service."""
    return RoutingService(kernel)
