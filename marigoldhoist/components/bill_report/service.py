"""Bill report service."""

from marigoldhoist.components.bill_report.const import BILLS_ROUTE
from marigoldhoist.components.billing.aggregator import read_report
from marigoldhoist.components.operator.app import (
    UNAVAILABLE,
    HttpResponse,
    error_response,
    json_response,
)
from marigoldhoist.components.operator.const import COMPONENT as OPERATOR
from marigoldhoist.components.operator.service import OperatorService
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.platform_log.errors import (
    LogRefusedError,
    LogUnavailableError,
)
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.core.kernel import BaseService, Kernel


class BillReportService(BaseService):
    """Serves bill totals, aggregated from the log for each request."""

    def __init__(self, kernel: Kernel) -> None:
        self._log = kernel.find(LOG, LogService)
        operator = kernel.find(OPERATOR, OperatorService)
        operator.app.add(BILLS_ROUTE, self._show)

    def _show(self, _body: bytes) -> HttpResponse:
        try:
            report = read_report(self._log.client)
        except (LogUnavailableError, LogRefusedError) as error:
            return error_response(str(error), UNAVAILABLE)
        return json_response(report)
