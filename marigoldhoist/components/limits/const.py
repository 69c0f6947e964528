"""Constants of the limits component."""

from typing import Final

COMPONENT: Final = 'limits'
STAGE_ORDER: Final = 20

LOAN_REQUEST_TOPIC: Final = 'limits.wants'
LOAN_GRANT_TOPIC: Final = 'limits.loans'

RETAINED_QUOTA_FRACTION: Final = 0.25
LOAN_DURATION_S: Final = 8.0
# Assumed upper bound on the difference between the wall clocks of two hosts.
MAX_CLOCK_SKEW_S: Final = 1.0
EXCHANGE_INTERVAL_S: Final = 1.0
LOAN_REQUEST_FANOUT: Final = 8
LOAN_LOOKAHEAD_S: Final = 2.0
MIN_LOAN_QUOTA_FRACTION: Final = 0.001

BURST_S: Final = 2.0
AMOUNT_EPSILON: Final = 1e-6
DAY_S: Final = 86_400
SPEND_BURST_S: Final = 3600.0
DEMAND_DECAY_S: Final = 3.0
RETRY_AFTER_S: Final = 1.0
