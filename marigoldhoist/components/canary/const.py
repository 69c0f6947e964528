"""Constants of the canary component."""

from typing import Final

COMPONENT: Final = 'canary'

# Parts of the time that the operator allows for a roll-out.
CANARY_UNTIL: Final = 0.5
ALL_MOVED_AT: Final = 0.85
COMPLETE_AT: Final = 0.88
# In-flight requests of the old version may hold completion up until then.
COMPLETE_LATEST_AT: Final = 0.94

# Part of the promised share that the canary is given, as the share is counted
# over requests that arrive unevenly.
CANARY_PART: Final = 0.6

# Daemons that would all write the same status spread over this time.
WRITE_SPREAD_S: Final = 0.6
STATUS_WAIT_S: Final = 1.0
STATUS_PAUSE_S: Final = 0.3
TICK_S: Final = 0.2
REMEMBERED_SESSIONS: Final = 4096
