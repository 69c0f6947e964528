"""Constants of the command line interface."""

from typing import Final

EXIT_REJECTED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNKNOWN: Final = 3

EXIT_BY_OUTCOME: Final = {
    'accepted': 0,
    'rejected': EXIT_REJECTED,
    'unknown': EXIT_UNKNOWN,
}

DEFAULT_URL: Final = 'http://127.0.0.1:7300'
URL_VARIABLE: Final = 'MARIGOLDHOIST_URL'
KEY_VARIABLE: Final = 'MARIGOLDHOIST_OPERATOR_KEY'
CALL_TIMEOUT_S: Final = 15.0

# Base revision of a change that creates a row.
NO_REVISION: Final = -1
MS_PER_S: Final = 1000
# How long, and how often, to check whether all daemons use a change.
IN_FORCE_TIMEOUT_S: Final = 10.0
IN_FORCE_POLL_S: Final = 0.1
