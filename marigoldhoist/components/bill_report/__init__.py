"""Report of bill totals for operators."""

from marigoldhoist.components.bill_report.const import COMPONENT
from marigoldhoist.components.bill_report.service import BillReportService
from marigoldhoist.components.operator.const import COMPONENT as OPERATOR
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(LOG, OPERATOR))
def set_up(kernel: Kernel) -> BillReportService:
    """Create the bill report service."""
    return BillReportService(kernel)
