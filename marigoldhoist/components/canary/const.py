"""Constants of the canary component."""

from typing import Final

COMPONENT: Final = 'canary'

# A bad version that does not show must not get more than the promised share of
# all requests from the order to its deadline. Of that share these parts go to
# the sessions that try it, to the move of all others, and to the time that is
# left to store the end; the rest is for requests that arrive unevenly, and for
# streams that the old replicas break off when they stop at the end.
TRIED_PART: Final = 0.45
MOVE_PART: Final = 0.1
END_PART: Final = 0.25
# In-flight requests of the old version may hold the end up for this part of
# the time that is left then.
LATEST_END_PART: Final = 0.15

# Daemons tell each other for this long which sessions are under way before any
# session tries a new version, but for no more than this part of the time.
TELL_S: Final = 3.0
TELL_PART: Final = 0.25
# Sessions that one daemon tells others of, at most.
MOST_TOLD: Final = 256

# Reads follow each other within this time, and an order is seen as it comes.
# One that was seen after a longer gap is taken to be as old as the excess, and
# no older than the longest age.
ORDINARY_GAP_S: Final = 2.0
LONGEST_ORDER_AGE_S: Final = 0.7

# Daemons that would all write the same status spread over this time.
WRITE_SPREAD_S: Final = 0.6
STATUS_WAIT_S: Final = 1.0
STATUS_PAUSE_S: Final = 0.3
TICK_S: Final = 0.2
REMEMBERED_SESSIONS: Final = 4096
