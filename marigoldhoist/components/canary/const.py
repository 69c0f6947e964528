"""Constants of the canary component."""

from typing import Final

COMPONENT: Final = 'canary'

# The objective `promises.canary_share` is an exposure budget: of all
# requests between the order and its deadline, a bad version that goes
# undetected must not get more than this share. The budget is divided into the
# canary sessions, the ramp to full traffic, and the time after the ramp in
# which the final state is stored. The remaining fifth is a reserve for uneven
# arrivals and for streams that the old replicas break off when they stop at
# the end.
CANARY_BUDGET_FRACTION: Final = 0.45
RAMP_BUDGET_FRACTION: Final = 0.1
FINISH_BUDGET_FRACTION: Final = 0.25
# In-flight requests of the old version may delay the completion for this
# fraction of the time between the end of the ramp and the deadline.
DRAIN_FRACTION: Final = 0.15

# Share of sessions that stay on the other versions until the evidence allows to
# complete, so that there are answers to compare the target's with.
CONTROL_SESSION_SHARE: Final = 0.2
# Time from the release of these sessions to the completion, in which all
# daemons learn of it and requests in flight end.
CONTROL_DRAIN_S: Final = 0.4

# Before any session is moved to a new version, daemons exchange their active
# sessions for this long, but for at most this fraction of the allowed time.
SESSION_EXCHANGE_S: Final = 3.0
SESSION_EXCHANGE_FRACTION: Final = 0.25
# Maximum number of active sessions in the evidence that a daemon shares.
MAX_SHARED_SESSIONS: Final = 256

# Age up to which answers of a new version can clear it, at least and as a
# fraction of the allowed time. A version may turn bad after it was good.
MIN_RECENT_S: Final = 10.0
RECENT_FRACTION: Final = 0.25

# Reads of the orders normally follow each other within this time, so that an
# order is seen as soon as it is stored. An order that is read after a longer
# gap is assumed to be as old as the excess, up to MAX_ORDER_AGE_S.
NORMAL_READ_GAP_S: Final = 2.0
MAX_ORDER_AGE_S: Final = 0.7

# All daemons detect that the same status is due; a random delay up to this
# long spreads their writes.
STATUS_WRITE_JITTER_S: Final = 0.6
# Long-poll timeout for reads of the status topic.
STATUS_POLL_WAIT_S: Final = 1.0
# Minimum pause between two reads of the status topic, and after a failed write.
STATUS_PAUSE_S: Final = 0.3
STATUS_CHECK_INTERVAL_S: Final = 0.2
MAX_REMEMBERED_SESSIONS: Final = 4096
