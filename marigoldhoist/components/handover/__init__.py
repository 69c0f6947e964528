"""Hand calls over to daemons that reach replicas which this one does not."""

from marigoldhoist.components.handover.const import COMPONENT
from marigoldhoist.components.handover.service import HandoverService
from marigoldhoist.components.mirrors.const import COMPONENT as MIRRORS
from marigoldhoist.core.deployments import GATEWAY
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(MIRRORS,), deployment=GATEWAY)
def set_up(kernel: Kernel) -> HandoverService:
    """Create the handover service."""
    return HandoverService(kernel)
