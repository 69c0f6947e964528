"""Constants of the feeds component."""

from typing import Final

COMPONENT: Final = 'feeds'

# Pauses after a failed call; calls that the store refuses count as load too.
FIRST_PAUSE_S: Final = 0.15
LONGEST_PAUSE_S: Final = 0.6

# A call is given up this long after the longest time it may wait.
CALL_TIMEOUT_S: Final = 0.9

# A source whose news is older is not enough; the next one is asked as well.
LONGEST_AGE_S: Final = 2.4
