"""Constants of the limits component."""

from typing import Final

COMPONENT: Final = 'limits'
STAGE_ORDER: Final = 20

WANTS_TOPIC: Final = 'limits.wants'
LOANS_TOPIC: Final = 'limits.loans'

KEPT_PART: Final = 0.25
LOAN_S: Final = 8.0
# The clocks of two hosts are taken to differ by less than this.
MAX_SKEW_S: Final = 1.0
EXCHANGE_INTERVAL_S: Final = 1.0
ASKED_PEERS: Final = 8
ASK_AHEAD_S: Final = 2.0
SMALLEST_LOAN: Final = 0.001

BURST_S: Final = 2.0
SMALLEST_AMOUNT: Final = 1e-6
DAY_S: Final = 86_400
SPEND_BURST_S: Final = 3600.0
DEMAND_MEMORY_S: Final = 3.0
RETRY_AFTER_S: Final = 1.0
