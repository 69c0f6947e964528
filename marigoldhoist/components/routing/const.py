"""Constants of the routing component."""

from typing import Final

COMPONENT: Final = 'routing'

SUBSET_NEAR_REPLICAS: Final = 9
SUBSET_FAR_REPLICAS: Final = 3
DEFAULT_SERVICE_TIME_S: Final = 3.0
PLAN_INTERVAL_S: Final = 5.0
# An engine batches twice what it serves at full speed before it queues.
SLOTS_PER_BATCH: Final = 2
