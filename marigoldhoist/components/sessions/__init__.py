"""Keep each session on one model version."""

from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.routing.const import COMPONENT as ROUTING
from marigoldhoist.components.sessions.const import COMPONENT
from marigoldhoist.components.sessions.service import SessionService
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(LOG, PEERS, ROUTING))
def set_up(kernel: Kernel) -> SessionService:
    """Create the session service."""
    return SessionService(kernel)
