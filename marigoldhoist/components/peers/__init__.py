"""Authenticated links between daemons and topic messages over them."""

from marigoldhoist.components.hosts.const import COMPONENT as HOSTS
from marigoldhoist.components.peers.const import COMPONENT
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(HOSTS,))
def set_up(kernel: Kernel) -> PeerService:
    """Create the peer service."""
    return PeerService(kernel)
