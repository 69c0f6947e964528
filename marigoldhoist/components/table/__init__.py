"""The operators' configuration table, replicated through the log.

Holds the row types, the changes to rows and the deterministic fold that
applies them.
"""

from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.table.const import COMPONENT
from marigoldhoist.components.table.service import TableService
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(LOG,))
def set_up(kernel: Kernel) -> TableService:
    """Create the table service."""
    return TableService(kernel)
