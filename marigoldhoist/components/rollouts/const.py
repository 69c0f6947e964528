"""Constants of the rollouts component."""

from typing import Final

COMPONENT: Final = 'rollouts'

AUTHOR: Final = 'rollouts'
STEP_INTERVAL_S: Final = 1.0
LEASE_TTL_S: Final = 10.0
# A step that still lacks answers after this many dwell times stops the
# roll-out.
MAX_DWELLS_WITHOUT_ANSWERS: Final = 10
