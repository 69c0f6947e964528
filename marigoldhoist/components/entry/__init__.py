"""HTTP server for callers."""

from marigoldhoist.components.dispatch.const import COMPONENT as DISPATCH
from marigoldhoist.components.entry.const import COMPONENT
from marigoldhoist.components.entry.service import EntryService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(DISPATCH, TABLE))
def set_up(kernel: Kernel) -> EntryService:
    """Create the entry service."""
    return EntryService(kernel)
