"""Detect versions whose answers degraded, and hold them."""

from marigoldhoist.components.dispatch.const import COMPONENT as DISPATCH
from marigoldhoist.components.dispatch.service import DispatchService
from marigoldhoist.components.health.const import COMPONENT, STAGE_ORDER
from marigoldhoist.components.health.service import HealthService
from marigoldhoist.components.health.stage import HealthStage
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.quality.const import COMPONENT as QUALITY
from marigoldhoist.components.quality.service import QualityService
from marigoldhoist.components.routing.const import COMPONENT as ROUTING
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.upstreams.const import COMPONENT as UPSTREAMS
from marigoldhoist.components.upstreams.service import UpstreamService
from marigoldhoist.core.kernel import Kernel, component


@component(
    COMPONENT,
    needs=(DISPATCH, PEERS, QUALITY, ROUTING, TABLE, UPSTREAMS),
)
def set_up(kernel: Kernel) -> HealthService:
    """Create the health service."""
    health = HealthService(kernel)
    quality = kernel.find(QUALITY, QualityService)
    quality.add_observer(health.observe)
    stage = HealthStage(quality, kernel.find(UPSTREAMS, UpstreamService))
    kernel.find(DISPATCH, DispatchService).add_stage(STAGE_ORDER, stage)
    return health
