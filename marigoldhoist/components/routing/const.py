"""Constants of the routing component."""

from typing import Final

COMPONENT: Final = 'routing'

HASH_RANGE: Final = 1 << 64


SLOW_START_S: Final = 30.0
MIN_WARM_SHARE: Final = 0.1
SPILL_MARGIN: Final = 0.5
AFFINITY_BONUS: Final = 0.25
AFFINITY_BOUND: Final = 1.25
SUBSET_NEAR_REPLICAS: Final = 9
SUBSET_FAR_REPLICAS: Final = 3
DEFAULT_SERVICE_TIME_S: Final = 3.0
MEMORY_SHARE: Final = 0.25
SPREAD_SHARE: Final = 1.75
MIDDLE: Final = 0.5
OWN_COUNT_WEIGHT: Final = 2.0
PLAN_INTERVAL_S: Final = 5.0
# An engine batches twice what it serves at full speed before it queues.
SLOTS_PER_BATCH: Final = 2
