"""Constants of the leases component."""

from typing import Final

COMPONENT: Final = 'leases'

LEASE_KIND: Final = 'lease'
NO_FENCE: Final = -1

RENEWALS_PER_TTL: Final = 3
# Part of the TTL by which a holder stops early, because clocks drift.
MARGIN_FRACTION: Final = 0.1
APPEND_TIMEOUT_S: Final = 2.0
RELEASE_TIMEOUT_S: Final = 0.5

ORDER_PATH: Final = '/orders'
ORDER_TIMEOUT_S: Final = 5.0
# The longest a process may be paused and then go on as if nothing happened.
LARGEST_PAUSE_S: Final = 60.0
HTTP_OK: Final = 200
HTTP_CONFLICT: Final = 409
