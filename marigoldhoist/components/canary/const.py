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

# A version is bad after this many failures, if it fails this many times more
# often than the others do.
LEAST_FAILURES: Final = 2
FAILURE_FACTOR: Final = 4.0
# It is slow after this many answers that took this many times as long as the
# others' do for the same work, if they are at least this share of its answers
# and this many times the others' own share.
LEAST_SLOW_ANSWERS: Final = 3
SLOW_FACTOR: Final = 3.0
LEAST_SLOW_SHARE: Final = 0.35
SLOW_SHARE_FACTOR: Final = 3.0
# Fewer answers of the others than these are no measure.
LEAST_COMPARED: Final = 4

# Daemons that would all write the same status spread over this time.
WRITE_SPREAD_S: Final = 0.6
STATUS_WAIT_S: Final = 1.0
STATUS_PAUSE_S: Final = 0.3
TICK_S: Final = 0.2
REMEMBERED_SESSIONS: Final = 4096
