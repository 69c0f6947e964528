"""Constants of the rollouts component."""

from typing import Final

COMPONENT: Final = 'rollouts'

AUTHOR: Final = 'rollouts'
STEP_INTERVAL_S: Final = 1.0
LEASE_TTL_S: Final = 10.0
STALLED_DWELLS: Final = 10
