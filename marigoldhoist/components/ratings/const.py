"""Constants of the ratings component."""

from typing import Final

COMPONENT: Final = 'ratings'

FETCH_TIMEOUT_S: Final = 2.0
# Maximum number of ratings per fetched page.
FETCH_LIMIT: Final = 1000
# Maximum number of answers that are kept until they are rated.
MAX_RECENT_ANSWERS: Final = 100_000
