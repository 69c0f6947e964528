"""The list of live and leaving hosts, polled from the platform.

The list lags behind the actual state of the hosts.
"""

from marigoldhoist.components.hosts.const import COMPONENT
from marigoldhoist.components.hosts.service import HostService
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT)
def set_up(kernel: Kernel) -> HostService:
    """Create the service that polls the host list."""
    return HostService(kernel)
