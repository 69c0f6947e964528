"""Constants of the hosts component."""

from typing import Final

COMPONENT: Final = 'hosts'
FETCH_TIMEOUT_S: Final = 2.0
