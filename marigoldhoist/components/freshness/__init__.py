"""Refuse requests while the table may be stale after a process pause."""

from marigoldhoist.components.dispatch.const import COMPONENT as DISPATCH
from marigoldhoist.components.freshness.const import COMPONENT
from marigoldhoist.components.freshness.service import FreshnessService
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.relay.const import COMPONENT as RELAY
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(DISPATCH, LOG, RELAY))
def set_up(kernel: Kernel) -> FreshnessService:
    """Create the freshness service."""
    return FreshnessService(kernel)
