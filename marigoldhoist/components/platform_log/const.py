"""Constants of the platform_log component."""

from typing import Final

COMPONENT: Final = 'platform_log'

TABLE_STREAM: Final = 'table'
WORK_STREAM: Final = 'work'
BILL_STREAM: Final = 'bills'
FOLLOWED_STREAMS: Final = (TABLE_STREAM, WORK_STREAM)

READ_LIMIT_RECORDS: Final = 500
READ_TIMEOUT_MARGIN_S: Final = 2.0
RETRY_PAUSE_S: Final = 0.25
GAP_PAUSE_S: Final = 2.0
VERIFY_INTERVAL_S: Final = 5.0
FAR_BEHIND_RECORDS: Final = 1000
RING_RECORDS: Final = 4096
