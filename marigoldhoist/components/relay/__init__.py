"""Relay log entries from peers to daemons that cannot reach the log."""

from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.relay.const import COMPONENT
from marigoldhoist.components.relay.service import RelayService
from marigoldhoist.components.snapshots.const import COMPONENT as SNAPSHOTS
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(LOG, PEERS, SNAPSHOTS))
def set_up(kernel: Kernel) -> RelayService:
    """Create the relay service."""
    return RelayService(kernel)
