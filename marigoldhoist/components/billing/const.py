"""Constants of the billing component."""

from typing import Final

COMPONENT: Final = 'billing'

BILL_KIND: Final = 'bill'
SHIP_INTERVAL_S: Final = 0.25
SHIP_BATCH: Final = 200
SHIP_TIMEOUT_S: Final = 2.0
