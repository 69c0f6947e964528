"""Constants of the freshness component."""

from typing import Final

COMPONENT: Final = 'freshness'

# Position among the dispatch stages; lower ones admit requests first.
STAGE_ORDER: Final = 10
TICK_INTERVAL_S: Final = 0.1
# A longer gap between two ticks counts as a pause of the process.
MAX_TICK_GAP_S: Final = 1.0
# If catching up takes longer, requests are served from the stale table.
CATCH_UP_TIMEOUT_S: Final = 2.0
# Delay between two attempts to catch up.
CATCH_UP_RETRY_DELAY_S: Final = 0.1
# Sent to callers whose request was refused.
RETRY_AFTER_S: Final = 1.0
