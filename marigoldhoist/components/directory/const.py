"""Constants of the directory component."""

from typing import Final

COMPONENT: Final = 'directory'

# After a store outage, live replicas renew their entries within this time.
# Until then, entries that expired because of the outage stay in use.
LAPSE_GRACE_S: Final = 2.0

# Time over which the failure score of a replica halves.
FAILURE_HALF_LIFE_S: Final = 3.0
# A replica that cannot be connected to is avoided for this time while other
# replicas have capacity.
FIRST_SUSPICION_S: Final = 1.0
# Each further suspicion lasts longer by this factor, up to the maximum.
SUSPICION_GROWTH: Final = 2.0
MAX_SUSPICION_S: Final = 4.0
