"""Request counters and latency metrics."""

from marigoldhoist.components.dispatch.const import COMPONENT as DISPATCH
from marigoldhoist.components.metrics.const import COMPONENT
from marigoldhoist.components.metrics.service import MetricsService
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(DISPATCH,))
def set_up(kernel: Kernel) -> MetricsService:
    """Create the metrics service."""
    return MetricsService(kernel)
