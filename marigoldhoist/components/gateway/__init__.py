"""Route callers' requests to replicas and deliver the responses."""

from marigoldhoist.components.canary.const import COMPONENT as CANARY
from marigoldhoist.components.configuration.const import (
    COMPONENT as CONFIGURATION,
)
from marigoldhoist.components.directory.const import COMPONENT as DIRECTORY
from marigoldhoist.components.gateway import (  # noqa: F401
    plain_delivery,
    stream_delivery,
)
from marigoldhoist.components.gateway.const import COMPONENT
from marigoldhoist.components.gateway.service import GatewayService
from marigoldhoist.components.handover.const import COMPONENT as HANDOVER
from marigoldhoist.components.mirrors.const import COMPONENT as MIRRORS
from marigoldhoist.components.quarantine.const import (
    COMPONENT as QUARANTINE,
)
from marigoldhoist.core.deployments import GATEWAY
from marigoldhoist.core.kernel import Kernel, component


@component(
    COMPONENT,
    needs=(CANARY, CONFIGURATION, DIRECTORY, HANDOVER, MIRRORS, QUARANTINE),
    deployment=GATEWAY,
)
def set_up(kernel: Kernel) -> GatewayService:
    """Create the gateway service."""
    return GatewayService(kernel)
