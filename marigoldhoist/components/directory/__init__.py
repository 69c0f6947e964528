"""Service discovery: the replicas that the store lists as available."""

from marigoldhoist.components.directory.const import COMPONENT
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.core.deployments import GATEWAY
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, deployment=GATEWAY)
def set_up(_kernel: Kernel) -> DirectoryService:
    """Create the directory service."""
    return DirectoryService()
