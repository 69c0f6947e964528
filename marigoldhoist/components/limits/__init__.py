"""Limits of workspaces and models, enforced across all daemons."""

from marigoldhoist.components.dispatch.const import COMPONENT as DISPATCH
from marigoldhoist.components.hosts.const import COMPONENT as HOSTS
from marigoldhoist.components.limits.const import COMPONENT
from marigoldhoist.components.limits.service import LimitService
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(DISPATCH, HOSTS, PEERS, TABLE))
def set_up(kernel: Kernel) -> LimitService:
    """Create the limit service."""
    return LimitService(kernel)
