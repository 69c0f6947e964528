"""Constants of the freshness component."""

from typing import Final

COMPONENT: Final = 'freshness'

STAGE_ORDER: Final = 10
TICK_S: Final = 0.1
LONGEST_GAP_S: Final = 1.0
CATCH_UP_TIMEOUT_S: Final = 2.0
RETRY_PAUSE_S: Final = 0.1
RETRY_AFTER_S: Final = 1.0
