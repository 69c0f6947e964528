"""Constants of the operator component."""

from typing import Final

COMPONENT: Final = 'operator'
STATUS_TOPIC: Final = 'operator.status'

SERVER_THREADS: Final = 4
MAX_CONCURRENT_FLEET_CALLS: Final = 8
FLEET_TIMEOUT_S: Final = 1.0
STOP_TIMEOUT_S: Final = 1.0
MAX_BODY_BYTES: Final = 4_194_304
