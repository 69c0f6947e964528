"""Roll out versions step by step, without an operator."""

from marigoldhoist.components.leases.const import COMPONENT as LEASES
from marigoldhoist.components.quality.const import COMPONENT as QUALITY
from marigoldhoist.components.quality.service import QualityService
from marigoldhoist.components.rollouts.const import COMPONENT
from marigoldhoist.components.rollouts.service import RollOutService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(LEASES, QUALITY, TABLE))
def set_up(kernel: Kernel) -> RollOutService:
    """Create the roll-out service."""
    rollouts = RollOutService(kernel)
    kernel.find(QUALITY, QualityService).add_observer(rollouts.observe)
    return rollouts
