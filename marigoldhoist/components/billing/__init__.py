"""Billing of requests: one bill per request, kept until it is on the log."""

from marigoldhoist.components.billing.const import COMPONENT
from marigoldhoist.components.billing.service import BillingService
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(LOG, PEERS))
def set_up(kernel: Kernel) -> BillingService:
    """Create the billing service."""
    return BillingService(kernel)
