"""Constants of the feeds component."""

from typing import Final

COMPONENT: Final = 'feeds'

# Backoff after a failed read. It grows because calls that the store refuses
# add to its load as well.
MIN_BACKOFF_S: Final = 0.15
MAX_BACKOFF_S: Final = 0.6

# Time that a call may take in addition to the wait of its long poll.
CALL_TIMEOUT_S: Final = 0.9

# After the era of a source changed, its writers write their lost records again
# within this time.
ERA_SETTLE_S: Final = 2.0

# If the answer of a source is older, the next source is queried as well.
MAX_STALENESS_S: Final = 2.4
