"""Constants of the operator component."""

from typing import Final

COMPONENT: Final = 'operator'
THREADS: Final = 4
STOP_TIMEOUT_S: Final = 1.0
MAX_BODY_BYTES: Final = 4_194_304
