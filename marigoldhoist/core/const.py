"""Constants of the core."""

from typing import Final

JOIN_TIMEOUT_S: Final = 5.0
MS_PER_S: Final = 1000
