"""Constants of the retries component."""

from typing import Final

COMPONENT: Final = 'retries'

RETRY_SHARE: Final = 0.1
FLOOR_PER_S: Final = 0.2
MAX_SAVED_RETRIES: Final = 10.0

HEDGE_PERCENTILE: Final = 95
MIN_HEDGE_SAMPLES: Final = 50
WINDOW_S: Final = 60.0
LONGEST_US: Final = 120_000_000
US_PER_S: Final = 1_000_000
SIGNIFICANT_DIGITS: Final = 2
