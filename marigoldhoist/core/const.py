"""Constants of the core."""

from typing import Final

# Upper bound on the wait for each background thread at shutdown.
THREAD_JOIN_TIMEOUT_S: Final = 5.0
MS_PER_S: Final = 1000
