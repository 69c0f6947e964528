"""Constants of the leases component."""

from typing import Final

COMPONENT: Final = 'leases'

LEASE_KIND: Final = 'lease'
# Stands for "no fencing token"; tokens are log offsets, from 0 on.
NO_FENCE: Final = -1

RENEWALS_PER_TTL: Final = 3
# Tolerance for clock drift between hosts, as a fraction of the TTL: a holder
# stops acting this much before expiry, and a contender waits this much longer.
TTL_MARGIN_FRACTION: Final = 0.1
APPEND_TIMEOUT_S: Final = 2.0
RELEASE_TIMEOUT_S: Final = 0.5

# Engines to which connections are kept.
MAX_HOSTS: Final = 10
ORDER_PATH: Final = '/orders'
ORDER_TIMEOUT_S: Final = 5.0
# Longest assumed pause of a process, after which it may still send an order
# under a lease that has expired in the meantime.
MAX_PROCESS_PAUSE_S: Final = 60.0
HTTP_OK: Final = 200
HTTP_CONFLICT: Final = 409
