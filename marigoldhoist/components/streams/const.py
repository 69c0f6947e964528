"""Constants of the streams component."""

from typing import Final

COMPONENT: Final = 'streams'

RECEIVE_BYTES: Final = 65_536
MAX_EVENT_BYTES: Final = 1_048_576
MAX_SIZE_LINE_BYTES: Final = 128
SWEEP_INTERVAL_S: Final = 0.25
SWITCH_INTERVAL_S: Final = 0.0005
CALLER_STALL_TIMEOUT_S: Final = 30.0
CRLF: Final = b'\r\n'
LAST_CHUNK: Final = b'0\r\n\r\n'
