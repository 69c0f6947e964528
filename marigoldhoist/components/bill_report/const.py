"""Constants of the bill_report component."""

from typing import Final

COMPONENT: Final = 'bill_report'
BILLS_ROUTE: Final = 'GET /bills'
