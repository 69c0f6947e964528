"""Constants of the retries component."""

from typing import Final

COMPONENT: Final = 'retries'

# Retries added to the budget by each request.
RETRIES_PER_REQUEST: Final = 0.1
# Retries added to the budget by time, so that rare requests can be retried.
MIN_RETRIES_PER_S: Final = 0.2
# Capacity of the budget, in retries.
MAX_SAVED_RETRIES: Final = 10.0

# A hedged request is sent after this percentile of the first token delays.
HEDGE_PERCENTILE: Final = 95
# Samples needed in a window before its percentile is used.
MIN_HEDGE_SAMPLES: Final = 50
# Length of the window over which first token delays are collected.
WINDOW_S: Final = 60.0
# Longer delays are recorded as this one, the highest value of the histogram.
MAX_DELAY_US: Final = 120_000_000
US_PER_S: Final = 1_000_000
# Precision of the histogram, in decimal digits.
SIGNIFICANT_DIGITS: Final = 2
