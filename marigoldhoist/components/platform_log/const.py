"""Constants of the platform_log component."""

from typing import Final

COMPONENT: Final = 'platform_log'

TABLE_STREAM: Final = 'table'
WORK_STREAM: Final = 'work'
BILL_STREAM: Final = 'bills'
FOLLOWED_STREAMS: Final = (TABLE_STREAM, WORK_STREAM)

READ_LIMIT_RECORDS: Final = 500
MAX_LOG_HOSTS: Final = 4
CONNECTIONS_PER_HOST: Final = 8
# Added to the long poll's wait for the timeout of the HTTP read.
READ_TIMEOUT_MARGIN_S: Final = 2.0
# Pause before a failed read or append is retried.
RETRY_PAUSE_S: Final = 0.25
# Pause between reads while the next records have expired from the log.
GAP_PAUSE_S: Final = 2.0
# How often an idle follower checks that the log still ends with the entry
# that was folded last.
VERIFY_INTERVAL_S: Final = 5.0
# With more records on the log, a new daemon starts from a snapshot.
MAX_REPLAY_RECORDS: Final = 1000
# Recent entries that a feed keeps in memory, for peers and for recovery.
RING_RECORDS: Final = 4096
