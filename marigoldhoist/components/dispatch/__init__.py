"""Process requests from admission through attempts to billing."""

from marigoldhoist.components.billing.const import COMPONENT as BILLING
from marigoldhoist.components.dispatch.const import COMPONENT
from marigoldhoist.components.dispatch.service import DispatchService
from marigoldhoist.components.quality.const import COMPONENT as QUALITY
from marigoldhoist.components.ratings.const import COMPONENT as RATINGS
from marigoldhoist.components.retries.const import COMPONENT as RETRIES
from marigoldhoist.components.routing.const import COMPONENT as ROUTING
from marigoldhoist.components.streams.const import COMPONENT as STREAMS
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.upstreams.const import COMPONENT as UPSTREAMS
from marigoldhoist.core.kernel import Kernel, component


@component(
    COMPONENT,
    needs=(
        BILLING,
        QUALITY,
        RATINGS,
        RETRIES,
        ROUTING,
        STREAMS,
        TABLE,
        UPSTREAMS,
    ),
)
def set_up(kernel: Kernel) -> DispatchService:
    """Create the dispatch service."""
    return DispatchService(kernel)
