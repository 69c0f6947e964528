"""Client, feeds and writers of the platform's append-only log."""

from marigoldhoist.components.platform_log.const import COMPONENT
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT)
def set_up(kernel: Kernel) -> LogService:
    """Create the log service."""
    return LogService(kernel)
