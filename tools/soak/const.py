"""Constants of the soak."""

from typing import Final

HOST: Final = '127.0.0.1'
DAEMONS: Final = 3
PLAIN_REPLICAS: Final = 3
MODEL_REPLICAS: Final = 3
CALLERS: Final = 8

# Promises that the daemons' settings state, in seconds.
WITHDRAWAL_S: Final = 5.0
DRAIN_S: Final = 2.0
STOP_GRACE_S: Final = 6.0
# Room for this machine's own delays, which the promises do not know.
SLACK_S: Final = 1.0

CALL_PAUSE_S: Final = 0.05
CALL_TIMEOUT_S: Final = 8.0
LONGEST_FAULT_S: Final = 9.0
FAULT_PAUSE_S: Final = 0.6
READY_TIMEOUT_S: Final = 20.0
EVENTS: Final = 6
EVENT_PAUSE_S: Final = 0.03
# A daemon that was hurt is left out of timed promises for this long.
CONTACT_S: Final = 3.0
