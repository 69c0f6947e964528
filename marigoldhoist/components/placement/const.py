"""Constants of the placement decisions; loads are in requests per slot."""

from typing import Final

SLOW_START_S: Final = 30.0
MIN_WARM_SHARE: Final = 0.1
SPILL_MARGIN: Final = 0.5
AFFINITY_BONUS: Final = 0.25
AFFINITY_BOUND: Final = 1.25
MEMORY_SHARE: Final = 0.25
SPREAD_SHARE: Final = 1.75
MIDDLE: Final = 0.5
OWN_COUNT_WEIGHT: Final = 2.0
