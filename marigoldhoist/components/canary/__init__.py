"""Roll a service out to a new version, with rollback on regression."""

from marigoldhoist.components.canary.const import COMPONENT
from marigoldhoist.components.canary.service import CanaryService
from marigoldhoist.components.directory.const import COMPONENT as DIRECTORY
from marigoldhoist.components.feeds.const import COMPONENT as FEEDS
from marigoldhoist.components.mirrors.const import COMPONENT as MIRRORS
from marigoldhoist.core.deployments import GATEWAY
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(DIRECTORY, FEEDS, MIRRORS), deployment=GATEWAY)
def set_up(kernel: Kernel) -> CanaryService:
    """Create the canary service."""
    return CanaryService(kernel)
