"""Constants of the ratings component."""

from typing import Final

COMPONENT: Final = 'ratings'

FETCH_TIMEOUT_S: Final = 2.0
FETCH_LIMIT: Final = 1000
ANSWERS_KEPT: Final = 100_000
