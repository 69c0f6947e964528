"""Constants of the soak."""

from typing import Final

HOST: Final = '127.0.0.1'
DAEMON_COUNT: Final = 3
PLAIN_REPLICA_COUNT: Final = 3
MODEL_REPLICA_COUNT: Final = 3
CALLER_COUNT: Final = 8

# Guarantees that the daemons' settings state and the checks enforce.
KEY_WITHDRAWAL_S: Final = 5.0
REPLICA_DRAIN_S: Final = 2.0
STOP_GRACE_S: Final = 6.0
# Allowance for scheduling delays of this machine, which the guarantees do not
# include.
SCHEDULING_SLACK_S: Final = 1.0

# Once so many replicas have crashed under one prompt part, daemons have a time
# to agree on it, and then at most a few requests with it may reach replicas.
CRASHES: Final = 5
# The same for one request as a whole, whose path has a segment with a prefix.
REQUEST_CRASHES: Final = 3
REQUEST_PREFIX: Final = 'req'
AGREEMENT_S: Final = 3.0
MAX_LATER_ARRIVALS: Final = 3
# Time for which a replica that crashed is away.
RESTART_S: Final = 0.7

# Path whose answers are larger than the buffers of a connection.
LARGE_PATH: Final = '/safe/large'

MAX_CALL_PAUSE_S: Final = 0.05
CALL_TIMEOUT_S: Final = 8.0
MAX_FAULT_S: Final = 9.0
FAULT_PAUSE_S: Final = 0.6
READY_TIMEOUT_S: Final = 20.0
EVENT_COUNT: Final = 6
EVENT_INTERVAL_S: Final = 0.03
# Calls that are sent within this time after a daemon was killed or paused are
# exempt from the checks of planned stops and drained replicas.
FAULT_RECOVERY_S: Final = 3.0
