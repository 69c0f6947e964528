"""Constants of the routing component."""

from typing import Final

COMPONENT: Final = 'routing'

# Size of a daemon's subset of the replicas that serve a name: replicas in its
# own failure domain, and replicas in the others.
SUBSET_NEAR_REPLICAS: Final = 9
SUBSET_FAR_REPLICAS: Final = 3
# Assumed duration of a request, which sets how fast load reports go stale in
# the load estimates.
DEFAULT_SERVICE_TIME_S: Final = 3.0
PLAN_INTERVAL_S: Final = 5.0
# An engine batches up to twice as many requests as it serves at full speed
# before it queues further ones.
SLOTS_PER_BATCH: Final = 2
