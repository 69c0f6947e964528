"""The platform's lagging list of live and leaving hosts."""

from marigoldhoist.components.hosts.const import COMPONENT
from marigoldhoist.components.hosts.service import HostService
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT)
def set_up(kernel: Kernel) -> HostService:
    """Create the host list service."""
    return HostService(kernel)
