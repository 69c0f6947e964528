"""Constants of the routing component."""

from typing import Final

COMPONENT: Final = 'routing'

HASH_RANGE: Final = 1 << 64
CANDIDATES: Final = 2
