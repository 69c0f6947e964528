"""Leases granted through the replicated log, with fencing tokens."""

from marigoldhoist.components.leases.const import COMPONENT
from marigoldhoist.components.leases.service import LeaseService
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(LOG,))
def set_up(kernel: Kernel) -> LeaseService:
    """Create the lease service."""
    return LeaseService(kernel)
