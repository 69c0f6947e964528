"""Run each non-repeatable request at most once."""

from marigoldhoist.components.claims.const import COMPONENT
from marigoldhoist.components.claims.service import ClaimService
from marigoldhoist.components.dispatch.const import COMPONENT as DISPATCH
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(DISPATCH, LOG, PEERS))
def set_up(kernel: Kernel) -> ClaimService:
    """Create the claim service."""
    return ClaimService(kernel)
