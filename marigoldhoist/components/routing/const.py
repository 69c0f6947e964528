"""Constants of the routing component."""

from typing import Final

COMPONENT: Final = 'routing'

CANDIDATES: Final = 2
