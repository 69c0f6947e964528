"""Count the quality of answers and share the counts between daemons."""

from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.quality.const import COMPONENT
from marigoldhoist.components.quality.service import QualityService
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(PEERS,))
def set_up(kernel: Kernel) -> QualityService:
    """Create the quality service."""
    return QualityService(kernel)
