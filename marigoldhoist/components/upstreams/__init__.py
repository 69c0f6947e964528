"""HTTP client for engine replicas and plain services."""

from marigoldhoist.components.hosts.const import COMPONENT as HOSTS
from marigoldhoist.components.upstreams.const import COMPONENT
from marigoldhoist.components.upstreams.service import UpstreamService
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(HOSTS,))
def set_up(kernel: Kernel) -> UpstreamService:
    """Create the upstream service."""
    return UpstreamService(kernel)
