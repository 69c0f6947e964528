"""Hold back parts of prompts that crash the replicas which answer them."""

from marigoldhoist.components.directory.const import COMPONENT as DIRECTORY
from marigoldhoist.components.mirrors.const import COMPONENT as MIRRORS
from marigoldhoist.components.quarantine.const import COMPONENT
from marigoldhoist.components.quarantine.service import QuarantineService
from marigoldhoist.core.deployments import GATEWAY
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(DIRECTORY, MIRRORS), deployment=GATEWAY)
def set_up(kernel: Kernel) -> QuarantineService:
    """Create the quarantine service."""
    return QuarantineService(kernel)
