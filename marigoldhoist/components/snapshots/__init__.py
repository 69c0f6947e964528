"""Snapshots of the folded state of streams, on the log and from peers."""

from marigoldhoist.components.leases.const import COMPONENT as LEASES
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.snapshots.const import COMPONENT
from marigoldhoist.components.snapshots.service import SnapshotService
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(LOG, LEASES, PEERS))
def set_up(kernel: Kernel) -> SnapshotService:
    """Create the snapshot service."""
    return SnapshotService(kernel)
